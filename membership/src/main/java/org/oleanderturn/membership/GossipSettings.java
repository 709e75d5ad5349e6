package org.oleanderturn.membership;

import org.oleanderturn.model.Locality.Distance;

/**
 * Intervals and limits of the membership protocol.
 *
 * <p>Immutable and thread safe.
 *
 * @param probeIntervals time between probes
 * @param syncIntervals time between anti-entropy synchronizations of the whole table
 * @param reconnectIntervalMilliseconds time between attempts to reach an unreachable member
 * @param suspicionMultiplier number of probe intervals within the zone that make up the suspicion timeout, to be
 *     multiplied by the decimal logarithm of the cluster size
 * @param indirectProbes number of members asked to probe a member that did not answer
 * @param bytesPerSecond bandwidth that this node may use in total
 * @param crossRegionBytesPerSecond bandwidth that this node may use towards other regions
 * @param piggybackBytes limit of the piggybacked records in one message
 * @param heldVersionBytes limit of the piggybacked configuration versions in one message
 * @param syncBytes limit of the records in one synchronization message
 */
public record GossipSettings(
        Intervals probeIntervals,
        Intervals syncIntervals,
        long reconnectIntervalMilliseconds,
        int suspicionMultiplier,
        int indirectProbes,
        int bytesPerSecond,
        int crossRegionBytesPerSecond,
        int piggybackBytes,
        int heldVersionBytes,
        int syncBytes) {
    private static final int RETRANSMIT_MULTIPLIER = 4;

    /** Returns the default settings. */
    public static GossipSettings defaults() {
        return new GossipSettings(
                new Intervals(1_000, 5_000, 15_000),
                new Intervals(1_500, 6_000, 30_000),
                5_000,
                4,
                3,
                21_000,
                4_000,
                1_200,
                1_000,
                16_000);
    }

    /** Returns settings that detect a failed member within two seconds, for clusters of up to about 100 members. */
    public static GossipSettings fastDetection() {
        return new GossipSettings(
                new Intervals(500, 600, 1_500),
                new Intervals(2_000, 3_000, 8_000),
                1_000,
                3,
                3,
                200_000,
                100_000,
                4_000,
                4_000,
                64_000);
    }

    /** Returns how long a suspect may take to refute, in milliseconds; grows with the logarithm of the cluster size. */
    public long suspicionTimeoutMilliseconds(int members) {
        double magnitude = Math.max(1, Math.log10(members + 1.0));
        return Math.round(suspicionMultiplier * magnitude * probeIntervals.sameZoneMilliseconds());
    }

    /** Returns how many times one node passes a record on; grows with the logarithm of the cluster size. */
    public int transmissionLimit(int members) {
        return RETRANSMIT_MULTIPLIER * (int) Math.ceil(Math.max(1, Math.log10(members + 1.0)));
    }

    /**
     * Intervals of a periodic action in milliseconds, by the distance of the member that it addresses.
     *
     * <p>Immutable and thread safe.
     */
    public record Intervals(long sameZoneMilliseconds, long sameRegionMilliseconds, long otherRegionMilliseconds) {

        /** Returns the interval for a distance, in milliseconds. */
        public long at(Distance distance) {
            return switch (distance) {
                case SAME_ZONE -> sameZoneMilliseconds;
                case SAME_REGION -> sameRegionMilliseconds;
                case OTHER_REGION -> otherRegionMilliseconds;
            };
        }
    }
}
