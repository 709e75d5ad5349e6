package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Spreads the times at which refused callers come back.
 *
 * <p>Invariant: never shorter than the estimate or the floor, never longer than the larger of them and a half. Thread
 * safe when the random generator is.
 */
final class RetryAfter {
    private static final Duration MINIMUM_DELAY = Duration.ofMillis(20);
    private static final double JITTER_FRACTION = 0.5;

    private RetryAfter() {}

    static Duration jittered(RandomGenerator random, Duration estimate) {
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(estimate, "estimate is null");
        Duration least = estimate.compareTo(MINIMUM_DELAY) < 0 ? MINIMUM_DELAY : estimate;
        double extra = least.toNanos() * JITTER_FRACTION * random.nextDouble();
        return least.plusNanos(Math.round(extra));
    }
}
