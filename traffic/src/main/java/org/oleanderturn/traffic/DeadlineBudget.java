package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * The time that one request has left.
 *
 * <p>Invariant: a later hop never gets more than remains here, and never less than zero. Hops exchange the time that
 * remains, not a time of day, so their clocks need not agree. Immutable and thread safe.
 */
public final class DeadlineBudget {
    private final LongSupplier nanoseconds;
    private final long deadlineNanoseconds;

    private DeadlineBudget(LongSupplier nanoseconds, long deadlineNanoseconds) {
        this.nanoseconds = nanoseconds;
        this.deadlineNanoseconds = deadlineNanoseconds;
    }

    /** Returns a budget that starts now; negative time counts as none. */
    public static DeadlineBudget of(LongSupplier nanoseconds, Duration remaining) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(remaining, "remaining is null");
        long span = remaining.isNegative() ? 0 : remaining.toNanos();
        return new DeadlineBudget(nanoseconds, nanoseconds.getAsLong() + span);
    }

    /** Returns the shorter of what the caller asked for and what the policy allows. */
    public static DeadlineBudget of(LongSupplier nanoseconds, Duration asked, Duration allowed) {
        return of(nanoseconds, asked.compareTo(allowed) < 0 ? asked : allowed);
    }

    /** Returns the moment on the injected clock at which the time is over. */
    public long deadlineNanoseconds() {
        return deadlineNanoseconds;
    }

    /** Returns the time left, zero when it is over. */
    public Duration remaining() {
        return Duration.ofNanos(Math.max(0, deadlineNanoseconds - nanoseconds.getAsLong()));
    }

    /** Returns whether the time is over. */
    public boolean isExpired() {
        return remaining().isZero();
    }

    /** Returns what to tell the next hop: the time left less the time that its answer needs to come back. */
    public Duration forNextHop(Duration returnTrip) {
        Duration left = remaining().minus(returnTrip);
        return left.isNegative() ? Duration.ZERO : left;
    }
}
