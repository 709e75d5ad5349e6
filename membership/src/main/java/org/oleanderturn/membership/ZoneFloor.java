package org.oleanderturn.membership;

import java.util.Objects;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.ConfigurationVersion;

/** The highest configuration version that any node of a zone is known to have held. Immutable and thread safe. */
public record ZoneFloor(AvailabilityZone zone, ConfigurationVersion version) {

    /** Rejects a null zone or version. */
    public ZoneFloor {
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(version, "version is null");
    }
}
