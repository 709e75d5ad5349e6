package org.oleanderturn.membership;

import java.util.Objects;
import org.oleanderturn.model.Locality.Distance;

/**
 * Expected traffic of the protocol.
 *
 * <p>Pure functions. Thread safe.
 */
public final class GossipCost {
    /** A message that carries the sender's record and nothing else, or a short answer to one. */
    private static final int MESSAGE_BYTES = 240;

    private static final int RECORD_BYTES = 130;
    private static final int BUCKET_DIGESTS_BYTES = TableDigest.BUCKETS * 5;
    private static final int CHANGES_PER_RESTART = 5;
    private static final double CONVERGENCE_SECONDS = 20;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private GossipCost() {}

    /**
     * Returns the bytes that one node is expected to send in a second, answers counted.
     *
     * @param members nodes in all
     * @param restartsPerDay restarts in all, a day
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
        double shareOfTimeApart = Math.min(1, changesPerSecond * CONVERGENCE_SECONDS);
        double bucketRecords = 2.0 * Math.ceil((double) members / TableDigest.BUCKETS) * RECORD_BYTES;
        double compared = BUCKET_DIGESTS_BYTES + 2 * MESSAGE_BYTES + Math.min(settings.syncBytes(), bucketRecords);
        return piggyback + shareOfTimeApart * exchangesPerSecond(settings.syncIntervals()) * compared;
    }

    /** Returns the exchanges that one node starts in a second. */
    private static double exchangesPerSecond(GossipSettings.Intervals intervals) {
        double rate = 0;
        for (Distance distance : Distance.values()) {
            rate += MILLISECONDS_PER_SECOND / intervals.at(distance);
        }
        return rate;
    }
}
