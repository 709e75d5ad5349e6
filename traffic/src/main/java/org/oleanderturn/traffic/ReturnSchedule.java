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
final class ReturnSchedule {
    private static final long PLACES_FOR_ONE_RETURN = 2;
    private static final long LONGEST_NANOSECONDS = 10_000_000_000L;

    private final AtomicLong promisedNanoseconds;

    private ReturnSchedule(long now) {
        this.promisedNanoseconds = new AtomicLong(now);
    }

    static ReturnSchedule of(long now) {
        return new ReturnSchedule(now);
    }

    /** Takes the next place. */
    Duration next(long now, Duration estimate, long nanosecondsForOne) {
        long earliest = now + estimate.toNanos();
        long latest = earliest + LONGEST_NANOSECONDS;
        long spacing = PLACES_FOR_ONE_RETURN * nanosecondsForOne;
        long promised = promisedNanoseconds.updateAndGet(held -> {
            long from = held - earliest < 0 ? earliest : held;
            return from + spacing - latest > 0 ? latest : from + spacing;
        });
        return Duration.ofNanos(promised - now);
    }
}
