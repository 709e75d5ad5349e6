package org.oleanderturn.membership;

import java.util.random.RandomGenerator;

/**
 * Says when an action that repeats is due; each time is up to a fifth early or late, so that nodes do not act in step.
 *
 * <p>Invariant: the first time is within one interval. Not thread safe.
 */
final class JitteredTimer {
    private static final double JITTER_FRACTION = 0.2;

    private final RandomGenerator random;
    private long dueMilliseconds;

    JitteredTimer(long intervalMilliseconds, long nowMilliseconds, RandomGenerator random) {
        this.random = random;
        this.dueMilliseconds = nowMilliseconds + random.nextLong(Math.max(1, intervalMilliseconds));
    }

    boolean isDue(long nowMilliseconds) {
        return nowMilliseconds >= dueMilliseconds;
    }

    void restart(long intervalMilliseconds, long nowMilliseconds) {
        double factor = 1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble();
        dueMilliseconds = nowMilliseconds + Math.round(intervalMilliseconds * factor);
    }
}
