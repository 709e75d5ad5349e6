package org.oleanderturn.store;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter.
 *
 * <p>Invariant: each delay is drawn between half of its bound and the bound, and the bound doubles with each failure from
 * the shortest to the longest. Immutable; thread safe if the random generator is.
 */
public final class Backoff {
    private static final int MAXIMUM_DOUBLINGS = 40;

    private final Duration shortest;
    private final Duration longest;
    private final RandomGenerator random;

    private Backoff(Duration shortest, Duration longest, RandomGenerator random) {
        this.shortest = shortest;
        this.longest = longest;
        this.random = random;
    }

    /**
     * Returns a backoff whose bound grows between the given durations.
     *
     * @throws IllegalArgumentException when the shortest is not positive or above the longest
     */
    public static Backoff of(Duration shortest, Duration longest, RandomGenerator random) {
        Objects.requireNonNull(shortest, "shortest is null");
        Objects.requireNonNull(longest, "longest is null");
        Objects.requireNonNull(random, "random is null");
        if (!shortest.isPositive() || shortest.compareTo(longest) > 0) {
            throw new IllegalArgumentException(
                    "shortest delay must be positive and at most the longest: " + shortest + ", " + longest);
        }
        return new Backoff(shortest, longest, random);
    }

    /**
     * Returns the delay before a retry.
     *
     * @param failures how many attempts failed in a row; at least 1
     * @throws IllegalArgumentException when failures is below 1
     */
    public Duration delay(int failures) {
        if (failures < 1) {
            throw new IllegalArgumentException("failures is below 1: " + failures);
        }
        long bound = boundMilliseconds(failures);
        long half = bound / 2;
        return Duration.ofMillis(half + random.nextLong(bound - half + 1));
    }

    /**
     * Returns the delay before a retry; if it is shorter than the given retry-after time, that time plus the delay.
     *
     * @throws IllegalArgumentException when failures is below 1
     */
    public Duration delay(int failures, Duration retryAfter) {
        Objects.requireNonNull(retryAfter, "retryAfter is null");
        Duration delay = delay(failures);
        return delay.compareTo(retryAfter) < 0 ? retryAfter.plus(delay) : delay;
    }

    private long boundMilliseconds(int failures) {
        long bound = Math.max(1, shortest.toMillis());
        long limit = Math.max(1, longest.toMillis());
        for (int doubling = 1; doubling < Math.min(failures, MAXIMUM_DOUBLINGS) && bound < limit; doubling++) {
            bound *= 2;
        }
        return Math.min(bound, limit);
    }
}
