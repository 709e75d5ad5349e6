package org.oleanderturn.traffic;

/**
 * What an entry has seen of one upstream.
 *
 * <p>Latency is a moving average. While nothing is heard it fades towards what is typical of the peers, and the next answer
 * weighs more, so that an upstream that was slow is tried again. Failures count as a run and as a share of two rotating
 * windows. Immutable and thread safe.
 *
 * @param latency the average in nanoseconds, zero when unknown
 * @param latencyNanoseconds the moment of the last latency
 * @param samples latencies seen
 * @param failureRun failures since the last success
 * @param windowNanoseconds the moment at which the present window began
 * @param answers answers in the present window
 * @param failures failures in the present window
 * @param earlierAnswers answers in the window before
 * @param earlierFailures failures in the window before
 */
public record Observation(
        double latency,
        long latencyNanoseconds,
        int samples,
        int failureRun,
        long windowNanoseconds,
        int answers,
        int failures,
        int earlierAnswers,
        int earlierFailures) {
    private static final double SMOOTHING = 0.2;
    private static final double FADE_NANOSECONDS = 5e9;
    private static final long WINDOW_NANOSECONDS = 5_000_000_000L;

    static Observation empty(long now) {
        return new Observation(0, now, 0, 0, now, 0, 0, 0, 0);
    }

    // -- queries

    int windowAnswers() {
        return answers + earlierAnswers;
    }

    int windowFailures() {
        return failures + earlierFailures;
    }

    double failureShare() {
        int all = windowAnswers();
        return all == 0 ? 0 : (double) windowFailures() / all;
    }

    /** Returns the average, faded towards the typical latency of the peers; the typical one when none is known. */
    double latencyAt(long now, double typical) {
        return samples == 0 ? typical : typical + (latency - typical) * weight(now);
    }

    private double weight(long now) {
        return Math.exp(-Math.max(0, now - latencyNanoseconds) / FADE_NANOSECONDS);
    }

    // -- successors

    Observation succeed(long nanoseconds, long now) {
        Observation timed = withLatency(nanoseconds, now).rotate(now);
        return timed.withCounts(0, timed.answers + 1, timed.failures);
    }

    Observation fail(long now) {
        Observation rotated = rotate(now);
        return rotated.withCounts(rotated.failureRun + 1, rotated.answers + 1, rotated.failures + 1);
    }

    /** Learns that an answer takes at least so long; a shorter time teaches nothing. */
    Observation waitedFor(long nanoseconds, long now) {
        return nanoseconds > latency ? withLatency(nanoseconds, now) : this;
    }

    private Observation withLatency(long nanoseconds, long now) {
        double share = samples == 0 ? 1 : 1 - (1 - SMOOTHING) * weight(now);
        double next = latency + share * (nanoseconds - latency);
        return new Observation(
                next,
                now,
                samples + 1,
                failureRun,
                windowNanoseconds,
                answers,
                failures,
                earlierAnswers,
                earlierFailures);
    }

    private Observation rotate(long now) {
        long age = now - windowNanoseconds;
        if (age < WINDOW_NANOSECONDS) {
            return this;
        }
        boolean isAdjacent = age < 2 * WINDOW_NANOSECONDS;
        return new Observation(
                latency,
                latencyNanoseconds,
                samples,
                failureRun,
                now,
                0,
                0,
                isAdjacent ? answers : 0,
                isAdjacent ? failures : 0);
    }

    private Observation withCounts(int nextRun, int nextAnswers, int nextFailures) {
        return new Observation(
                latency,
                latencyNanoseconds,
                samples,
                nextRun,
                windowNanoseconds,
                nextAnswers,
                nextFailures,
                earlierAnswers,
                earlierFailures);
    }
}
