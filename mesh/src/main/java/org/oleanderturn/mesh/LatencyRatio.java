package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * How long a target's requests take, as a share of their target latency.
 *
 * <p>Target latencies are in proportion to the work that requests are, so targets compare whatever mix of requests they
 * run. Thread safe.
 */
final class LatencyRatio {
    /** Weight of the newest run in the average; the last five or so count, as neighbours slow a target for moments. */
    private static final double NEWEST_SAMPLE_WEIGHT = 0.2;

    /** The least that is reported once there was a run, so that it can be told from none. */
    private static final int LOWEST_PERCENT = 1;

    /** Stands for the average before the first run; the users' target latencies are about three times the work. */
    private static final double INITIAL_RATIO = 0.33;

    private static final int PERCENT = 100;

    /** Bounds one outlier's pull on the average. */
    private static final double HIGHEST_RATIO = 4;

    private final AtomicLong averageBits = new AtomicLong(Double.doubleToLongBits(0));

    private LatencyRatio() {}

    static LatencyRatio create() {
        return new LatencyRatio();
    }

    /** Returns the average in percent; 0 before the first run. */
    int percent() {
        double current = Double.longBitsToDouble(averageBits.get());
        return current == 0 ? 0 : Math.max(LOWEST_PERCENT, (int) Math.round(current * PERCENT));
    }

    /** Returns how long a request with the given target latency is expected to run. */
    Duration expectedDuration(Duration targetLatency) {
        double current = Double.longBitsToDouble(averageBits.get());
        return Duration.ofNanos((long) (targetLatency.toNanos() * (current == 0 ? INITIAL_RATIO : current)));
    }

    /** Notes a run. */
    void record(Duration taken, Duration targetLatency) {
        if (targetLatency.isZero()) {
            return;
        }
        double newest = Math.min(HIGHEST_RATIO, (double) taken.toNanos() / targetLatency.toNanos());
        averageBits.updateAndGet(bits -> {
            double known = Double.longBitsToDouble(bits);
            double next = known == 0 ? newest : known * (1 - NEWEST_SAMPLE_WEIGHT) + newest * NEWEST_SAMPLE_WEIGHT;
            return Double.doubleToLongBits(next);
        });
    }
}
