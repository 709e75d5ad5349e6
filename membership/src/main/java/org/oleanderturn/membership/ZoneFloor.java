package org.oleanderturn.membership;

import java.util.Objects;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.ConfigurationVersion;

/** The highest version that any node of a zone was ever known to hold. Immutable and thread safe. */
public record ZoneFloor(AvailabilityZone zone, ConfigurationVersion version) {

    /** Checks that both parts are there. */
    public ZoneFloor {
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(version, "version is null");
    }
}
