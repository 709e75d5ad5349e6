package org.oleanderturn.testbed;

import java.util.List;
import java.util.stream.IntStream;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.Region;

/**
 * The localities of a fleet's nodes, in two regions, and the message delays between them. The store is in the platform's
 * region.
 *
 * <p>Immutable and thread safe.
 */
final class BenchLocalities {
    static final Region PLATFORM_REGION = Region.of("south");
    static final int ZONES = 7;

    private static final Region OTHER_REGION = Region.of("north");
    private static final double BETWEEN_ZONES_DELAY_MILLISECONDS = 1.5;
    private static final double BETWEEN_REGIONS_DELAY_MILLISECONDS = 8;
    private static final double WITHIN_ZONE_DELAY_MILLISECONDS = 0;

    private BenchLocalities() {}

    /** Returns the given number of availability zones, alternating between the regions and starting in the platform's. */
    static List<Locality> zones(int count) {
        return IntStream.range(0, count).mapToObj(BenchLocalities::zone).toList();
    }

    private static Locality zone(int number) {
        Region region = number % 2 == 0 ? PLATFORM_REGION : OTHER_REGION;
        return new Locality(region, AvailabilityZone.of(region.value() + "-" + number / 2));
    }

    static boolean isCrossRegion(Locality from, Locality to) {
        return !from.region().equals(to.region());
    }

    static boolean isInPlatformRegion(Locality locality) {
        return locality.region().equals(PLATFORM_REGION);
    }

    /** Returns the one-way delay of a message between two localities. */
    static double oneWayDelayMilliseconds(Locality from, Locality to) {
        if (isCrossRegion(from, to)) {
            return BETWEEN_REGIONS_DELAY_MILLISECONDS;
        }
        return from.equals(to) ? WITHIN_ZONE_DELAY_MILLISECONDS : BETWEEN_ZONES_DELAY_MILLISECONDS;
    }

    /** Returns the one-way delay of a message from a locality to the store. */
    static double oneWayDelayToStoreMilliseconds(Locality from) {
        return isInPlatformRegion(from) ? BETWEEN_ZONES_DELAY_MILLISECONDS : BETWEEN_REGIONS_DELAY_MILLISECONDS;
    }
}
