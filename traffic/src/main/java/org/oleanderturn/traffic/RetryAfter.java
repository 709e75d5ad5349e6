package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Spreads the times at which refused callers come back.
 *
 * <p>Invariant: never shorter than the estimate, never longer than the estimate and a half, within the stated floor and
 * ceiling. Thread safe when the random generator is.
 */
final class RetryAfter {
    private static final Duration FLOOR = Duration.ofMillis(20);
    private static final Duration CEILING = Duration.ofSeconds(30);
    private static final double SPREAD = 0.5;

    private RetryAfter() {}

    static Duration jittered(RandomGenerator random, Duration estimate) {
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(estimate, "estimate is null");
        Duration least = estimate.compareTo(FLOOR) < 0 ? FLOOR : estimate;
        Duration bounded = least.compareTo(CEILING) > 0 ? CEILING : least;
        double extra = bounded.toNanos() * SPREAD * random.nextDouble();
        return bounded.plusNanos(Math.round(extra));
    }
}
