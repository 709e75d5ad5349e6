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
    private static final Duration FLOOR = Duration.ofMillis(20);
    private static final double SPREAD = 0.5;

    private RetryAfter() {}

    static Duration jittered(RandomGenerator random, Duration estimate) {
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(estimate, "estimate is null");
        Duration least = estimate.compareTo(FLOOR) < 0 ? FLOOR : estimate;
        double extra = least.toNanos() * SPREAD * random.nextDouble();
        return least.plusNanos(Math.round(extra));
    }
}
