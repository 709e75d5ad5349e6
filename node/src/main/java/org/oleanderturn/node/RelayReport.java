package org.oleanderturn.node;

import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * What a relay says of the configuration to the nodes of its zone.
 *
 * <p>Immutable and thread safe.
 *
 * @param held the version that the relay holds
 * @param isReading whether the relay currently reads configurations from the platform's store
 * @param confirmationAgeMilliseconds how long ago the held version was the newest in the store; empty if not known
 */
record RelayReport(ConfigurationVersion held, boolean isReading, Optional<Long> confirmationAgeMilliseconds) {

    /** Throws {@link NullPointerException} if a component is null. */
    RelayReport {
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(confirmationAgeMilliseconds, "confirmationAgeMilliseconds is null");
    }
}
