package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Adds jitter to retry-after times, so that refused callers do not retry together.
 *
 * <p>Invariant: the result is at least the estimate and the minimum delay, and less than one and a half times the
 * larger of the two. Thread safe if the random generator is.
 */
final class RetryAfter {
    private static final Duration MINIMUM_DELAY = Duration.ofMillis(20);
    private static final double JITTER_FRACTION = 0.5;

    private RetryAfter() {}

    static Duration jittered(RandomGenerator random, Duration estimate) {
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(estimate, "estimate is null");
        Duration base = estimate.compareTo(MINIMUM_DELAY) < 0 ? MINIMUM_DELAY : estimate;
        double extra = base.toNanos() * JITTER_FRACTION * random.nextDouble();
        return base.plusNanos(Math.round(extra));
    }
}
