package org.oleanderturn.distribution;

import java.util.OptionalLong;

/**
 * A token bucket that limits the rate of full snapshots served by this node.
 *
 * <p>Invariant: in any period, at most {@link #BURST} snapshots plus one per {@link #REFILL_MILLISECONDS} are allowed.
 * Thread safe.
 */
final class SnapshotRateLimiter {
    /** The capacity of the bucket: the number of snapshots that may be served at once. */
    static final int BURST = 4;
    /** The time in which one token is refilled. */
    static final long REFILL_MILLISECONDS = 500;

    private long fullAtMilliseconds = Long.MIN_VALUE / 2;

    /** Takes a token; when there is none, returns the time until the next one is available, in milliseconds. */
    synchronized OptionalLong tryAcquire(long nowMilliseconds) {
        long fullAt = Math.max(fullAtMilliseconds, nowMilliseconds);
        long wait = fullAt - nowMilliseconds - (BURST - 1) * REFILL_MILLISECONDS;
        if (wait > 0) {
            return OptionalLong.of(wait);
        }
        fullAtMilliseconds = fullAt + REFILL_MILLISECONDS;
        return OptionalLong.empty();
    }
}
