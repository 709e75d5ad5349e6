package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A moving average of the time that a target takes for a request, divided by the request's target latency.
 *
 * <p>Target latencies are proportional to the work of a request, so the ratios of targets compare whatever mix of requests
 * they run. Thread safe.
 */
final class LatencyRatio {
    /** About five samples dominate the average, as other load on the host slows a target only for moments. */
    private static final double NEWEST_SAMPLE_WEIGHT = 0.2;

    /** The lowest value reported after a sample, as 0 means that there was none. */
    private static final int LOWEST_PERCENT = 1;

    /** Stands in for the average before the first sample; the users' target latencies are about three times the run time. */
    static final double INITIAL_RATIO = 0.33;

    private static final int PERCENT = 100;

    /** Caps a sample, so that one outlier does not dominate the average. */
    private static final double HIGHEST_RATIO = 4;

    private final AtomicLong averageBits = new AtomicLong(Double.doubleToLongBits(0));

    private LatencyRatio() {}

    static LatencyRatio create() {
        return new LatencyRatio();
    }

    /** Returns the average in percent; 0 before the first sample. */
    int percent() {
        double average = Double.longBitsToDouble(averageBits.get());
        return average == 0 ? 0 : Math.max(LOWEST_PERCENT, (int) Math.round(average * PERCENT));
    }

    /** Returns the expected run time of a request with the given target latency. */
    Duration expectedDuration(Duration targetLatency) {
        double average = Double.longBitsToDouble(averageBits.get());
        return Duration.ofNanos((long) (targetLatency.toNanos() * (average == 0 ? INITIAL_RATIO : average)));
    }

    /** Adds the run time of a request to the average; a target latency of zero is ignored. */
    void record(Duration runTime, Duration targetLatency) {
        if (targetLatency.isZero()) {
            return;
        }
        double newest = Math.min(HIGHEST_RATIO, (double) runTime.toNanos() / targetLatency.toNanos());
        averageBits.updateAndGet(bits -> {
            double average = Double.longBitsToDouble(bits);
            double updated =
                    average == 0 ? newest : average * (1 - NEWEST_SAMPLE_WEIGHT) + newest * NEWEST_SAMPLE_WEIGHT;
            return Double.doubleToLongBits(updated);
        });
    }
}
