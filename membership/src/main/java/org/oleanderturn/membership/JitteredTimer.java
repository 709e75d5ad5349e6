package org.oleanderturn.membership;

import java.util.random.RandomGenerator;

/**
 * Determines when a periodic action is due. Each interval is randomly shortened or extended by up to a fifth, so that
 * nodes do not synchronize their actions.
 *
 * <p>Invariant: the first due time is within one interval of the start. Not thread safe.
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
