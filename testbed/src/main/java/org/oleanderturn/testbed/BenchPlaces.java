package org.oleanderturn.testbed;

import java.util.List;
import java.util.stream.IntStream;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.Region;

/**
 * The places of a fleet: up to seven availability zones in two regions, the platform's store in the first.
 *
 * <p>Immutable and thread safe.
 */
final class BenchPlaces {
    static final Region PLATFORM_REGION = Region.of("south");
    static final int ZONES = 7;

    private static final Region FAR_REGION = Region.of("north");
    private static final double BETWEEN_ZONES_MILLISECONDS = 1.5;
    private static final double BETWEEN_REGIONS_MILLISECONDS = 8;
    private static final double WITHIN_ZONE_MILLISECONDS = 0;

    private BenchPlaces() {}

    /** Returns the first zones; regions take turns, the platform's first. */
    static List<Locality> zones(int count) {
        return IntStream.range(0, count).mapToObj(BenchPlaces::zone).toList();
    }

    private static Locality zone(int number) {
        Region region = number % 2 == 0 ? PLATFORM_REGION : FAR_REGION;
        return new Locality(region, AvailabilityZone.of(region.value() + "-" + number / 2));
    }

    static boolean isAcross(Locality from, Locality to) {
        return !from.region().equals(to.region());
    }

    static boolean isInPlatformRegion(Locality place) {
        return place.region().equals(PLATFORM_REGION);
    }

    /** Returns the time that one message takes from one place to another. */
    static double oneWayMilliseconds(Locality from, Locality to) {
        if (isAcross(from, to)) {
            return BETWEEN_REGIONS_MILLISECONDS;
        }
        return from.equals(to) ? WITHIN_ZONE_MILLISECONDS : BETWEEN_ZONES_MILLISECONDS;
    }

    /** Returns the time that one message takes from a place to the store. */
    static double oneWayToStoreMilliseconds(Locality from) {
        return isInPlatformRegion(from) ? BETWEEN_ZONES_MILLISECONDS : BETWEEN_REGIONS_MILLISECONDS;
    }
}
