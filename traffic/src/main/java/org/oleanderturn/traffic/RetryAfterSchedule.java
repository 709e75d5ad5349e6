package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Assigns retry-after times to refused callers so that their retries do not arrive together.
 *
 * <p>Each refusal takes the next position of a schedule that reserves half of the target's throughput for retries.
 * Invariant: a time is never before the estimate passed in, and at most ten seconds after it. Thread safe, without
 * locks.
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

    /**
     * Reserves the next position and returns the time until then, given the expected wait and the target's time for
     * each admission.
     */
    Duration nextDelay(long now, Duration estimate, long nanosecondsPerAdmission) {
        long earliest = now + estimate.toNanos();
        long latest = earliest + MAXIMUM_DELAY_NANOSECONDS;
        long spacing = SPACING_FACTOR * nanosecondsPerAdmission;
        long assigned = lastAssignedNanoseconds.updateAndGet(last -> {
            long start = last - earliest < 0 ? earliest : last;
            return start + spacing - latest > 0 ? latest : start + spacing;
        });
        return Duration.ofNanos(assigned - now);
    }
}
