package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Optional;
import org.oleanderturn.model.ConfigurationVersion;

/** Finds out whether a version of the configuration is the newest one in force. Implementations are thread safe. */
@FunctionalInterface
public interface VersionCheck {

    /** Returns the status of the version by which a request would be denied; blocks for a bounded time. */
    VersionStatus check(ConfigurationVersion version);

    /** Returns how long ago a version was last confirmed as the newest; empty before the first time. */
    default Optional<Duration> confirmationAge() {
        return Optional.empty();
    }
}
