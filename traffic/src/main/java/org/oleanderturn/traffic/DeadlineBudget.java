package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Time that remains for one request.
 *
 * <p>Invariant: a later hop never gets more time than remains here, nor less than zero. Hops exchange remaining
 * durations, not times of day, so their clocks need not be synchronized. Immutable and thread safe.
 */
public final class DeadlineBudget {
    private final LongSupplier nanoseconds;
    private final long deadlineNanoseconds;

    private DeadlineBudget(LongSupplier nanoseconds, long deadlineNanoseconds) {
        this.nanoseconds = nanoseconds;
        this.deadlineNanoseconds = deadlineNanoseconds;
    }

    /** Returns a budget that starts now; a negative duration counts as zero. The clock is in nanoseconds. */
    public static DeadlineBudget of(LongSupplier nanoseconds, Duration remaining) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(remaining, "remaining is null");
        long remainingNanoseconds = remaining.isNegative() ? 0 : remaining.toNanos();
        return new DeadlineBudget(nanoseconds, nanoseconds.getAsLong() + remainingNanoseconds);
    }

    /** Returns a budget of the shorter of the time that the caller requested and the time that the policy allows. */
    public static DeadlineBudget of(LongSupplier nanoseconds, Duration requested, Duration allowed) {
        return of(nanoseconds, requested.compareTo(allowed) < 0 ? requested : allowed);
    }

    /** Returns the deadline in nanoseconds on the given clock. */
    public long deadlineNanoseconds() {
        return deadlineNanoseconds;
    }

    /** Returns the remaining time; zero once the deadline has passed. */
    public Duration remaining() {
        return Duration.ofNanos(Math.max(0, deadlineNanoseconds - nanoseconds.getAsLong()));
    }

    /** Returns whether the deadline has passed. */
    public boolean isExpired() {
        return remaining().isZero();
    }

    /**
     * Returns the time to grant to the next hop: the remaining time less the time that its response takes to return.
     */
    public Duration forNextHop(Duration returnTime) {
        Duration forwarded = remaining().minus(returnTime);
        return forwarded.isNegative() ? Duration.ZERO : forwarded;
    }
}
