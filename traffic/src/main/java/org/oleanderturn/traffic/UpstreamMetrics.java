package org.oleanderturn.traffic;

/**
 * What an entry has seen of one upstream.
 *
 * <p>Latency is a moving average. While nothing is heard it fades towards what is typical of the peers, and the next answer
 * weighs more, so that an upstream that was slow is tried again. Failures count as a run and as a share of two rotating
 * windows. Immutable and thread safe.
 *
 * @param averageLatencyNanoseconds the average in nanoseconds, zero when unknown
 * @param latencyUpdatedNanoseconds the moment of the last latency
 * @param latencySamples latencies seen
 * @param consecutiveFailures failures since the last success
 * @param windowStartNanoseconds the moment at which the present window began
 * @param responses answers in the present window
 * @param failures failures in the present window
 * @param previousResponses answers in the window before
 * @param previousFailures failures in the window before
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
        int all = windowResponses();
        return all == 0 ? 0 : (double) windowFailures() / all;
    }

    /** Returns the average, faded towards the typical latency of the peers; the typical one when none is known. */
    double latencyAt(long now, double typical) {
        return latencySamples == 0 ? typical : typical + (averageLatencyNanoseconds - typical) * decay(now);
    }

    private double decay(long now) {
        return Math.exp(-Math.max(0, now - latencyUpdatedNanoseconds) / DECAY_NANOSECONDS);
    }

    // -- successors

    UpstreamMetrics withSuccess(long nanoseconds, long now) {
        UpstreamMetrics timed = withLatency(nanoseconds, now).rotated(now);
        return timed.withCounts(0, timed.responses + 1, timed.failures);
    }

    UpstreamMetrics withFailure(long now) {
        UpstreamMetrics rotated = rotated(now);
        return rotated.withCounts(rotated.consecutiveFailures + 1, rotated.responses + 1, rotated.failures + 1);
    }

    /** Learns that an answer takes at least so long; a shorter time teaches nothing. */
    UpstreamMetrics withMinimumLatency(long nanoseconds, long now) {
        return nanoseconds > averageLatencyNanoseconds ? withLatency(nanoseconds, now) : this;
    }

    private UpstreamMetrics withLatency(long nanoseconds, long now) {
        double share = latencySamples == 0 ? 1 : 1 - (1 - SMOOTHING_FACTOR) * decay(now);
        double next = averageLatencyNanoseconds + share * (nanoseconds - averageLatencyNanoseconds);
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

    private UpstreamMetrics withCounts(int nextRun, int nextAnswers, int nextFailures) {
        return new UpstreamMetrics(
                averageLatencyNanoseconds,
                latencyUpdatedNanoseconds,
                latencySamples,
                nextRun,
                windowStartNanoseconds,
                nextAnswers,
                nextFailures,
                previousResponses,
                previousFailures);
    }
}
