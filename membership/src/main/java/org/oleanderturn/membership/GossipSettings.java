package org.oleanderturn.membership;

import org.oleanderturn.model.Locality.Distance;

/**
 * Intervals and bounds of the protocol.
 *
 * <p>Immutable and thread safe.
 *
 * @param probeIntervals time between probes
 * @param syncIntervals time between comparisons of the whole table
 * @param reconnectIntervalMilliseconds time between tries to reach a member that is unreachable
 * @param suspicionMultiplier probe intervals that a suspect has to refute, for each tenfold of members
 * @param indirectProbes members asked to probe one that did not answer
 * @param bytesPerSecond bytes that this node may send in all
 * @param crossRegionBytesPerSecond bytes that this node may send to other regions
 * @param piggybackBytes bytes of records that one message passes on
 * @param heldVersionBytes bytes of held versions that one message passes on
 * @param syncBytes bytes of records in one message of a comparison
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

    /** Returns the usual settings. */
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

    /** Returns settings that find a lost member within two seconds, for up to a hundred or so members. */
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

    /** Returns how long a suspect may take to refute, in milliseconds; grows with the logarithm of the members. */
    public long suspicionTimeoutMilliseconds(int members) {
        double tenfolds = Math.max(1, Math.log10(members + 1.0));
        return Math.round(suspicionMultiplier * tenfolds * probeIntervals.sameZoneMilliseconds());
    }

    /** Returns how often one node passes a record on; grows with the logarithm of the members. */
    public int transmissionLimit(int members) {
        return RETRANSMIT_MULTIPLIER * (int) Math.ceil(Math.max(1, Math.log10(members + 1.0)));
    }

    /**
     * Times between two actions, by the distance of the member that they concern.
     *
     * <p>Immutable and thread safe.
     */
    public record Intervals(long sameZoneMilliseconds, long sameRegionMilliseconds, long otherRegionMilliseconds) {

        /** Returns the time for a distance, in milliseconds. */
        public long at(Distance distance) {
            return switch (distance) {
                case SAME_ZONE -> sameZoneMilliseconds;
                case SAME_REGION -> sameRegionMilliseconds;
                case OTHER_REGION -> otherRegionMilliseconds;
            };
        }
    }
}
