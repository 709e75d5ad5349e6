package org.oleanderturn.model;

import java.util.Objects;

/**
 * Where a node stands: its region and its availability zone.
 *
 * <p>Immutable and thread safe.
 */
public record Locality(Region region, AvailabilityZone zone) {

    /** Checks that both parts are there. */
    public Locality {
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(zone, "zone is null");
    }

    /** Returns the locality of a zone in a region. */
    public static Locality of(String region, String zone) {
        return new Locality(Region.of(region), AvailabilityZone.of(zone));
    }

    /** Returns how far another locality is. */
    public Distance distanceTo(Locality other) {
        if (!region.equals(other.region)) {
            return Distance.OTHER_REGION;
        }
        return zone.equals(other.zone) ? Distance.SAME_ZONE : Distance.SAME_REGION;
    }

    /** How far two localities are from each other, nearest first. */
    public enum Distance {
        SAME_ZONE,
        SAME_REGION,
        OTHER_REGION
    }
}
