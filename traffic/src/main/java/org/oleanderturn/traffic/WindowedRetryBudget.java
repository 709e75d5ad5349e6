package org.oleanderturn.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Bounds how often one node sends requests for a service again.
 *
 * <p>All nodes share a bound on repeats: a ratio of the requests in a window, and a fixed number beside it. Each node
 * takes the ratio of its own requests and its part of the fixed number, so that the fleet keeps the bound without a
 * message. It answers a load of failures, where repeats would add to the cause.
 *
 * <p>Invariant: in no window are more repeats granted than the ratio of the requests in it plus this node's part. Thread
 * safe.
 */
public final class WindowedRetryBudget {
    private final double ratio;
    private final double floor;
    private final long windowNanoseconds;
    private final LongSupplier nanoseconds;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    private WindowedRetryBudget(double ratio, double floor, long windowNanoseconds, LongSupplier nanoseconds) {
        this.ratio = ratio;
        this.floor = floor;
        this.windowNanoseconds = windowNanoseconds;
        this.nanoseconds = nanoseconds;
    }

    /**
     * Returns a budget that has seen no request.
     *
     * @param ratio repeats for each request in a window
     * @param floor this node's part of the repeats that are granted beside the ratio
     * @param windowNanoseconds the window's length
     */
    public static WindowedRetryBudget of(double ratio, double floor, long windowNanoseconds, LongSupplier nanoseconds) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new WindowedRetryBudget(ratio, floor, windowNanoseconds, nanoseconds);
    }

    /** Notes a request that is sent for the first time. */
    public synchronized void recordRequest() {
        expire();
        requests.addLast(nanoseconds.getAsLong());
    }

    /** Takes a repeat; returns whether it is granted. */
    public synchronized boolean tryWithdraw() {
        expire();
        if (retries.size() + 1 > ratio * requests.size() + floor) {
            return false;
        }
        retries.addLast(nanoseconds.getAsLong());
        return true;
    }

    private void expire() {
        long start = nanoseconds.getAsLong() - windowNanoseconds;
        expire(requests, start);
        expire(retries, start);
    }

    private static void expire(Deque<Long> times, long start) {
        while (!times.isEmpty() && times.peekFirst() - start < 0) {
            times.removeFirst();
        }
    }
}
