package org.oleanderturn.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Limits the retries that one node sends for a service to a ratio of its requests in a sliding window, plus its part of a
 * constant of the fleet.
 *
 * <p>The limit applies to the retries of all nodes together, also of those that start again. Each node uses the ratio of
 * its own requests. It uses its part of the constant only after it has run for a window, as it doesn't know what it had
 * used before it started. This prevents retries from amplifying an overload that makes requests fail.
 *
 * <p>Invariant: a retry is granted only if, with it, the retries of the window and those expected among its requests do not
 * exceed the ratio of the requests plus this node's part of the constant. Thread safe.
 */
public final class WindowedRetryBudget {
    private final double ratio;
    private final DoubleSupplier part;
    private final long windowNanoseconds;
    private final LongSupplier nanoseconds;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();
    private final Deque<Long> ratioRetries = new ArrayDeque<>();
    private final Deque<Induced> induced = new ArrayDeque<>();
    private final long startedNanoseconds;
    private double inducedSum;

    private WindowedRetryBudget(
            double ratio,
            DoubleSupplier part,
            long windowNanoseconds,
            long startedNanoseconds,
            LongSupplier nanoseconds) {
        this.ratio = ratio;
        this.part = part;
        this.windowNanoseconds = windowNanoseconds;
        this.nanoseconds = nanoseconds;
        this.startedNanoseconds = startedNanoseconds;
    }

    /**
     * Returns a budget without requests.
     *
     * @param ratio retries for each request in a window
     * @param part returns this node's present part of the retries granted in a window in addition to the ratio
     * @param windowNanoseconds length of the window
     * @param startedNanoseconds since when this node knows all its retries
     * @param nanoseconds the clock
     */
    public static WindowedRetryBudget of(
            double ratio,
            DoubleSupplier part,
            long windowNanoseconds,
            long startedNanoseconds,
            LongSupplier nanoseconds) {
        Objects.requireNonNull(part, "part is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new WindowedRetryBudget(ratio, part, windowNanoseconds, startedNanoseconds, nanoseconds);
    }

    /** Expected retries among the calls of a run that is itself a retry. */
    private record Induced(long nanoseconds, double retries) {}

    /**
     * What a node has used of a budget in the current window, and what it may use. Immutable and thread safe.
     *
     * @param retries retries that were granted
     * @param limit the largest number of retries that the requests of the window allow
     */
    public record Usage(int retries, double limit) {}

    /** Returns what is used in the current window. */
    public synchronized Usage usage() {
        advance();
        double limit = Math.max(0, ratio * requests.size() - inducedSum + presentPart());
        return new Usage(retries.size(), limit);
    }

    /** Returns the requests in the current window that were sent for the first time. */
    synchronized int requests() {
        advance();
        return requests.size();
    }

    /**
     * Returns whether a number of calls of a further retried run fit into the limit. Such calls are sent in any case, so that
     * the limit can only be kept by not running the retry that makes them.
     */
    synchronized boolean hasRoomForInduced(double calls) {
        advance();
        return calls == 0 || retries.size() + inducedSum + calls <= ratio * requests.size() + presentPart();
    }

    /** Records a request that is sent for the first time. */
    public synchronized void recordRequest() {
        long now = nanoseconds.getAsLong();
        expire(requests, now - windowNanoseconds);
        requests.addLast(now);
    }

    /** Records calls that a retried run is expected to make, which count as retries. */
    public synchronized void recordInduced(double calls) {
        if (calls > 0) {
            long now = nanoseconds.getAsLong();
            expireInduced(now - windowNanoseconds);
            induced.addLast(new Induced(now, calls));
            inducedSum += calls;
        }
    }

    /** Withdraws one retry; returns false and withdraws nothing if the limit is reached. */
    public synchronized boolean tryWithdraw() {
        advance();
        long now = nanoseconds.getAsLong();
        double ratioRoom = ratio * requests.size() - inducedSum - ratioRetries.size();
        if (ratioRoom >= 1) {
            ratioRetries.addLast(now);
        } else if (retries.size() - ratioRetries.size() + 1 > presentPart() - excess(ratioRoom)) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    /** Returns what the retries expected among the requests use beyond the ratio; the constant has to cover it. */
    private static double excess(double ratioRoom) {
        return Math.max(0, -ratioRoom);
    }

    private void advance() {
        long now = nanoseconds.getAsLong();
        long windowStart = now - windowNanoseconds;
        expire(requests, windowStart);
        expire(retries, windowStart);
        expire(ratioRetries, windowStart);
        expireInduced(windowStart);
    }

    /** Returns the part of the constant that is used now. */
    private double presentPart() {
        boolean isWindowKnown = nanoseconds.getAsLong() - startedNanoseconds >= windowNanoseconds;
        return isWindowKnown ? part.getAsDouble() : 0;
    }

    private void expireInduced(long windowStart) {
        while (!induced.isEmpty() && induced.peekFirst().nanoseconds() - windowStart < 0) {
            inducedSum -= induced.removeFirst().retries();
        }
        inducedSum = induced.isEmpty() ? 0 : inducedSum;
    }

    private static void expire(Deque<Long> timestamps, long windowStart) {
        while (!timestamps.isEmpty() && timestamps.peekFirst() - windowStart < 0) {
            timestamps.removeFirst();
        }
    }
}
