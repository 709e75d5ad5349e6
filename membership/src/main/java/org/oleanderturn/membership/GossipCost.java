package org.oleanderturn.membership;

import java.util.Objects;
import org.oleanderturn.model.Locality.Distance;

/**
 * Estimates the network traffic of the membership protocol.
 *
 * <p>Pure functions. Thread safe.
 */
public final class GossipCost {
    /** Approximate size of a message with no records besides the sender's, and of its answer. */
    private static final int MESSAGE_BYTES = 240;

    private static final int RECORD_BYTES = 130;
    private static final int BUCKET_DIGESTS_BYTES = TableDigest.BUCKETS * 5;
    private static final int CHANGES_PER_RESTART = 5;
    private static final double CONVERGENCE_SECONDS = 20;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private GossipCost() {}

    /**
     * Returns the bytes per second that one node is expected to send, including answers.
     *
     * @param members the number of nodes in the cluster
     * @param restartsPerDay restarts per day in the whole cluster
     */
    public static double expectedBytesPerSecond(GossipSettings settings, int members, double restartsPerDay) {
        Objects.requireNonNull(settings, "settings is null");
        return steadyBytesPerSecond(settings) + churnBytesPerSecond(settings, members, restartsPerDay);
    }

    private static double steadyBytesPerSecond(GossipSettings settings) {
        double exchangesPerSecond =
                exchangesPerSecond(settings.probeIntervals()) + exchangesPerSecond(settings.syncIntervals());
        return exchangesPerSecond * 2 * MESSAGE_BYTES;
    }

    private static double churnBytesPerSecond(GossipSettings settings, int members, double restartsPerDay) {
        double changesPerSecond = restartsPerDay * CHANGES_PER_RESTART / SECONDS_PER_DAY;
        double piggyback = changesPerSecond * settings.transmissionLimit(members) * RECORD_BYTES;
        double divergedFraction = Math.min(1, changesPerSecond * CONVERGENCE_SECONDS);
        double bucketRecords = 2.0 * Math.ceil((double) members / TableDigest.BUCKETS) * RECORD_BYTES;
        double syncBytes = BUCKET_DIGESTS_BYTES + 2 * MESSAGE_BYTES + Math.min(settings.syncBytes(), bucketRecords);
        return piggyback + divergedFraction * exchangesPerSecond(settings.syncIntervals()) * syncBytes;
    }

    /** Returns the number of exchanges that one node starts per second. */
    private static double exchangesPerSecond(GossipSettings.Intervals intervals) {
        double rate = 0;
        for (Distance distance : Distance.values()) {
            rate += MILLISECONDS_PER_SECOND / intervals.at(distance);
        }
        return rate;
    }
}
