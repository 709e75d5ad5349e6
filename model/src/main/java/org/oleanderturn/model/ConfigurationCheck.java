package org.oleanderturn.model;

import java.util.List;

/**
 * The result of validating a configuration without proposing it.
 *
 * <p>Immutable and thread safe.
 *
 * @param faults all faults; empty when the configuration is valid
 */
public record ConfigurationCheck(List<ConfigurationFault> faults) {

    /** Copies the list; throws {@link NullPointerException} if it is null. */
    public ConfigurationCheck {
        faults = List.copyOf(faults);
    }

    /** Validates a configuration and returns all its faults. */
    public static ConfigurationCheck of(Configuration configuration) {
        return new ConfigurationCheck(ConfigurationValidator.validate(configuration));
    }
}
