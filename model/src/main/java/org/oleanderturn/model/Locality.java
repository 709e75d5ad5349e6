package org.oleanderturn.model;

import java.util.Objects;

/**
 * The location of a node: its region and its availability zone.
 *
 * <p>Immutable and thread safe.
 */
public record Locality(Region region, AvailabilityZone zone) {

    /** Throws {@link NullPointerException} if a component is null. */
    public Locality {
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(zone, "zone is null");
    }

    /** Returns the locality with the given names; a malformed name is an {@link IllegalArgumentException}. */
    public static Locality of(String region, String zone) {
        return new Locality(Region.of(region), AvailabilityZone.of(zone));
    }

    /** Returns the distance between this locality and another. */
    public Distance distanceTo(Locality other) {
        if (!region.equals(other.region)) {
            return Distance.OTHER_REGION;
        }
        return zone.equals(other.zone) ? Distance.SAME_ZONE : Distance.SAME_REGION;
    }

    // Written out: the generated methods go through method handles, which are slow until they are compiled.

    @Override
    public boolean equals(Object other) {
        return this == other
                || (other instanceof Locality that && region.equals(that.region) && zone.equals(that.zone));
    }

    @Override
    public int hashCode() {
        return 31 * region.hashCode() + zone.hashCode();
    }

    /** The distance between two localities. The constants are ordered from nearest to farthest. */
    public enum Distance {
        SAME_ZONE,
        SAME_REGION,
        OTHER_REGION
    }
}
