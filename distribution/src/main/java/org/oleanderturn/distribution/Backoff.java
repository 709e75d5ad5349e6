package org.oleanderturn.distribution;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Spaces retries: each failure doubles the longest delay up to a cap, and the delay is drawn from its upper half.
 *
 * <p>Invariant: a delay is at least half the base and at most the cap. Not thread safe.
 */
final class Backoff {
    private final RandomGenerator random;
    private final long baseMilliseconds;
    private final long capMilliseconds;
    private long boundMilliseconds;

    private Backoff(RandomGenerator random, long baseMilliseconds, long capMilliseconds) {
        this.random = random;
        this.baseMilliseconds = baseMilliseconds;
        this.capMilliseconds = capMilliseconds;
        this.boundMilliseconds = baseMilliseconds;
    }

    /** Returns a backoff without a failure so far. */
    static Backoff of(RandomGenerator random, long baseMilliseconds, long capMilliseconds) {
        Objects.requireNonNull(random, "random is null");
        return new Backoff(random, baseMilliseconds, capMilliseconds);
    }

    /** Counts a failure and returns the delay before the next try, in milliseconds. */
    long nextDelayMilliseconds() {
        long delay = jittered(random, boundMilliseconds);
        boundMilliseconds = Math.min(capMilliseconds, boundMilliseconds * 2);
        return delay;
    }

    /** Forgets the failures. */
    void reset() {
        boundMilliseconds = baseMilliseconds;
    }

    /** Returns a delay between half the given one and the whole of it, in milliseconds. */
    static long jittered(RandomGenerator random, long milliseconds) {
        return milliseconds / 2 + random.nextLong(milliseconds / 2 + 1);
    }
}
