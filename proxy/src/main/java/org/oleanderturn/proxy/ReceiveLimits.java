package org.oleanderturn.proxy;

import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Limits what is received from a peer during one exchange.
 *
 * <p>Invariant: the time limit applies to all reads together, however few bytes each of them brings. Not thread safe.
 */
final class ReceiveLimits {
    private final LongSupplier clockNanoseconds;
    private final long deadlineNanoseconds;

    private ReceiveLimits(LongSupplier clockNanoseconds, long deadlineNanoseconds) {
        this.clockNanoseconds = clockNanoseconds;
        this.deadlineNanoseconds = deadlineNanoseconds;
    }

    /** Returns the limits of an exchange that begins now. */
    static ReceiveLimits startingNow(Duration timeout, LongSupplier clockNanoseconds) {
        return new ReceiveLimits(clockNanoseconds, clockNanoseconds.getAsLong() + timeout.toNanos());
    }

    /**
     * Returns how long the next read may block.
     *
     * @throws SocketTimeoutException if the time limit has passed
     */
    Duration remaining() throws SocketTimeoutException {
        long remaining = deadlineNanoseconds - clockNanoseconds.getAsLong();
        if (remaining <= 0) {
            throw new SocketTimeoutException("the time limit of the exchange has passed");
        }
        return Duration.ofNanos(remaining);
    }
}
