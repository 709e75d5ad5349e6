package org.oleanderturn.distribution;

import java.util.OptionalLong;

/**
 * A token bucket that limits how many whole snapshots this node serves.
 *
 * <p>Invariant: in any span at most {@link #BURST} snapshots and one more every {@link #REFILL_MILLISECONDS} are
 * allowed. Thread safe.
 */
final class SnapshotRateLimiter {
    /** How many snapshots may be served at once. */
    static final int BURST = 4;
    /** How often one more may be served. */
    static final long REFILL_MILLISECONDS = 500;

    private long fullAtMilliseconds = Long.MIN_VALUE / 2;

    /** Takes a token; when there is none, returns in how many milliseconds there is. */
    synchronized OptionalLong tryAcquire(long nowMilliseconds) {
        long empty = Math.max(fullAtMilliseconds, nowMilliseconds);
        long wait = empty - nowMilliseconds - (BURST - 1) * REFILL_MILLISECONDS;
        if (wait > 0) {
            return OptionalLong.of(wait);
        }
        fullAtMilliseconds = empty + REFILL_MILLISECONDS;
        return OptionalLong.empty();
    }
}
