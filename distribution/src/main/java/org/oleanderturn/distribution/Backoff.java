package org.oleanderturn.distribution;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter: each failure doubles the bound up to a cap, and the delay is random between half the
 * bound and the bound.
 *
 * <p>Invariant: every delay is at least half the base and at most the cap. Not thread safe.
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

    /** Returns a backoff in its initial state. */
    static Backoff of(RandomGenerator random, long baseMilliseconds, long capMilliseconds) {
        Objects.requireNonNull(random, "random is null");
        return new Backoff(random, baseMilliseconds, capMilliseconds);
    }

    /** Records a failure and returns the delay before the next attempt, in milliseconds. */
    long nextDelayMilliseconds() {
        long delay = jittered(random, boundMilliseconds);
        boundMilliseconds = Math.min(capMilliseconds, boundMilliseconds * 2);
        return delay;
    }

    /** Resets the bound to the base after a success. */
    void reset() {
        boundMilliseconds = baseMilliseconds;
    }

    /** Returns a random delay between half the given delay and the given delay, in milliseconds. */
    static long jittered(RandomGenerator random, long milliseconds) {
        return milliseconds / 2 + random.nextLong(milliseconds / 2 + 1);
    }
}
