package org.oleanderturn.traffic;

/**
 * Latency and failures of one upstream, as an entry measures them.
 *
 * <p>Latency is an exponential moving average. Without new samples it decays towards the median of the peers, and the
 * next sample weighs more, so that an upstream that was slow is tried again. Failures are counted in a row and over
 * two rotating windows. Immutable and thread safe.
 *
 * @param averageLatencyNanoseconds the average, zero before the first sample
 * @param latencyUpdatedNanoseconds when the last latency sample was taken
 * @param latencySamples number of latency samples
 * @param consecutiveFailures failures since the last success
 * @param windowStartNanoseconds when the current window began
 * @param responses responses in the current window, failures included
 * @param failures failures in the current window
 * @param previousResponses responses in the previous window
 * @param previousFailures failures in the previous window
 */
public record UpstreamMetrics(
        double averageLatencyNanoseconds,
        long latencyUpdatedNanoseconds,
        int latencySamples,
        int consecutiveFailures,
        long windowStartNanoseconds,
        int responses,
        int failures,
        int previousResponses,
        int previousFailures) {
    private static final double SMOOTHING_FACTOR = 0.2;
    private static final double DECAY_NANOSECONDS = 5e9;
    private static final long WINDOW_NANOSECONDS = 5_000_000_000L;

    static UpstreamMetrics empty(long now) {
        return new UpstreamMetrics(0, now, 0, 0, now, 0, 0, 0, 0);
    }

    // -- queries

    int windowResponses() {
        return responses + previousResponses;
    }

    int windowFailures() {
        return failures + previousFailures;
    }

    double failureRate() {
        int total = windowResponses();
        return total == 0 ? 0 : (double) windowFailures() / total;
    }

    /**
     * Returns the average in nanoseconds, decayed towards the median of the peers; the median if there are no
     * samples.
     */
    double latencyAt(long now, double median) {
        return latencySamples == 0 ? median : median + (averageLatencyNanoseconds - median) * decay(now);
    }

    private double decay(long now) {
        return Math.exp(-Math.max(0, now - latencyUpdatedNanoseconds) / DECAY_NANOSECONDS);
    }

    // -- successors

    UpstreamMetrics withSuccess(long latencyNanoseconds, long now) {
        UpstreamMetrics updated = withLatency(latencyNanoseconds, now).rotated(now);
        return updated.withCounts(0, updated.responses + 1, updated.failures);
    }

    UpstreamMetrics withFailure(long now) {
        UpstreamMetrics rotated = rotated(now);
        return rotated.withCounts(rotated.consecutiveFailures + 1, rotated.responses + 1, rotated.failures + 1);
    }

    /** Records that a response takes at least the given time; no effect if the average is higher already. */
    UpstreamMetrics withMinimumLatency(long latencyNanoseconds, long now) {
        return latencyNanoseconds > averageLatencyNanoseconds ? withLatency(latencyNanoseconds, now) : this;
    }

    private UpstreamMetrics withLatency(long latencyNanoseconds, long now) {
        double weight = latencySamples == 0 ? 1 : 1 - (1 - SMOOTHING_FACTOR) * decay(now);
        double next = averageLatencyNanoseconds + weight * (latencyNanoseconds - averageLatencyNanoseconds);
        return new UpstreamMetrics(
                next,
                now,
                latencySamples + 1,
                consecutiveFailures,
                windowStartNanoseconds,
                responses,
                failures,
                previousResponses,
                previousFailures);
    }

    private UpstreamMetrics rotated(long now) {
        long age = now - windowStartNanoseconds;
        if (age < WINDOW_NANOSECONDS) {
            return this;
        }
        boolean isAdjacent = age < 2 * WINDOW_NANOSECONDS;
        return new UpstreamMetrics(
                averageLatencyNanoseconds,
                latencyUpdatedNanoseconds,
                latencySamples,
                consecutiveFailures,
                now,
                0,
                0,
                isAdjacent ? responses : 0,
                isAdjacent ? failures : 0);
    }

    private UpstreamMetrics withCounts(int nextConsecutiveFailures, int nextResponses, int nextFailures) {
        return new UpstreamMetrics(
                averageLatencyNanoseconds,
                latencyUpdatedNanoseconds,
                latencySamples,
                nextConsecutiveFailures,
                windowStartNanoseconds,
                nextResponses,
                nextFailures,
                previousResponses,
                previousFailures);
    }
}
