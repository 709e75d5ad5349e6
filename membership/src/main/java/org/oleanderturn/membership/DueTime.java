package org.oleanderturn.membership;

import java.util.random.RandomGenerator;

/**
 * Says when an action that repeats is due; each time is up to a fifth early or late, so that nodes do not act in step.
 *
 * <p>Invariant: the first time is within one interval. Not thread safe.
 */
final class DueTime {
    private static final double JITTER = 0.2;

    private final RandomGenerator random;
    private long nextMilliseconds;

    DueTime(long intervalMilliseconds, long nowMilliseconds, RandomGenerator random) {
        this.random = random;
        this.nextMilliseconds = nowMilliseconds + random.nextLong(Math.max(1, intervalMilliseconds));
    }

    boolean isDue(long nowMilliseconds) {
        return nowMilliseconds >= nextMilliseconds;
    }

    void restart(long intervalMilliseconds, long nowMilliseconds) {
        double factor = 1 - JITTER + 2 * JITTER * random.nextDouble();
        nextMilliseconds = nowMilliseconds + Math.round(intervalMilliseconds * factor);
    }
}
