package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** When a refused client should retry: when a slot is expected, with jitter so that clients don't retry at once. Stateless. */
final class ClientRetryTime {
    /** Bounds of the time after which a refused client is asked to retry, before jitter. */
    private static final Duration SHORTEST = Duration.ofMillis(100);

    private static final Duration LONGEST = Duration.ofSeconds(1);

    /** Retry times are multiplied by a random factor between this and this plus 1. */
    private static final double LOWEST_JITTER_FACTOR = 0.5;

    private ClientRetryTime() {}

    /**
     * Returns the time after which to retry.
     *
     * @param expected when a slot is expected
     * @param remaining the time that the client still waits
     */
    static Duration after(Duration expected, Duration remaining, RandomGenerator random) {
        Duration longest = shorter(LONGEST, remaining.dividedBy(3));
        Duration base = expected.compareTo(SHORTEST) < 0 ? SHORTEST : shorter(expected, longest);
        return Duration.ofNanos((long) (base.toNanos() * (LOWEST_JITTER_FACTOR + random.nextDouble())));
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }
}
