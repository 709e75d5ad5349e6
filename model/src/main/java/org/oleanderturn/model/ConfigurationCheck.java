package org.oleanderturn.model;

import java.util.List;

/**
 * The answer to an operator who asks whether a configuration could be accepted.
 *
 * @param faults every fault; none when it could be accepted
 */
public record ConfigurationCheck(List<ConfigurationFault> faults) {

    /** Copies the faults. */
    public ConfigurationCheck {
        faults = List.copyOf(faults);
    }

    /** Returns the check of a configuration. */
    public static ConfigurationCheck of(Configuration configuration) {
        return new ConfigurationCheck(ConfigurationValidator.validate(configuration));
    }
}
