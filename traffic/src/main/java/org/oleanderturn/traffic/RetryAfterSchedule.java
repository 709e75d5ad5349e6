package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Gives refused callers times to come back at which there is room for them.
 *
 * <p>Each refusal takes the next place of a schedule that serves callers who return with half of the target's rate.
 * Invariant: never earlier than the estimate that it is given, nor later than the longest time after it. Thread safe,
 * without locks.
 */
final class RetryAfterSchedule {
    private static final long SPACING_FACTOR = 2;
    private static final long MAXIMUM_DELAY_NANOSECONDS = 10_000_000_000L;

    private final AtomicLong lastAssignedNanoseconds;

    private RetryAfterSchedule(long now) {
        this.lastAssignedNanoseconds = new AtomicLong(now);
    }

    static RetryAfterSchedule of(long now) {
        return new RetryAfterSchedule(now);
    }

    /** Takes the next place. */
    Duration nextDelay(long now, Duration estimate, long nanosecondsForOne) {
        long earliest = now + estimate.toNanos();
        long latest = earliest + MAXIMUM_DELAY_NANOSECONDS;
        long spacing = SPACING_FACTOR * nanosecondsForOne;
        long promised = lastAssignedNanoseconds.updateAndGet(held -> {
            long from = held - earliest < 0 ? earliest : held;
            return from + spacing - latest > 0 ? latest : from + spacing;
        });
        return Duration.ofNanos(promised - now);
    }
}
