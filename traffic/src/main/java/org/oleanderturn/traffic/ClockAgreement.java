package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Finds that the process was suspended, or that a clock was set: the monotonic clock may stand still while the host sleeps.
 *
 * <p>Thread safe.
 */
final class ClockAgreement {
    /** More than the clocks of a running process disagree after the usual drift, less than the margin of a delegated right. */
    private static final long TOLERANCE_MILLISECONDS = 300;

    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private final LongSupplier nanoseconds;
    private final LongSupplier wallMilliseconds;
    private final AtomicLong offset;

    ClockAgreement(LongSupplier nanoseconds, LongSupplier wallMilliseconds) {
        this.nanoseconds = nanoseconds;
        this.wallMilliseconds = wallMilliseconds;
        this.offset = new AtomicLong(currentOffset());
    }

    private long currentOffset() {
        return wallMilliseconds.getAsLong() - nanoseconds.getAsLong() / NANOSECONDS_PER_MILLISECOND;
    }

    /** Returns whether the clocks have moved apart since the last call that returned true or the last {@link #follow}. */
    boolean hasBroken() {
        long known = offset.get();
        long current = currentOffset();
        return Math.abs(current - known) > TOLERANCE_MILLISECONDS && offset.compareAndSet(known, current);
    }

    /**
     * Moves the difference that is taken as usual a little towards the present one, so that clocks of slightly different rates
     * never disagree; many short suspensions still add up.
     */
    void follow() {
        long known = offset.get();
        offset.compareAndSet(known, known + Long.signum(currentOffset() - known));
    }
}
