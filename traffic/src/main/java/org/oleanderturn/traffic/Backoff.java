package org.oleanderturn.traffic;

/**
 * How long to wait after failures that follow each other: each wait is twice as long as the last one, up to the longest.
 *
 * <p>Failures follow each other when one comes before a further wait of the same length has passed. Immutable and thread safe.
 *
 * @param firstNanoseconds the wait after a failure that follows no other
 * @param longestNanoseconds the longest wait
 * @param lengthNanoseconds the length of the last wait; 0 when there was none
 * @param untilNanoseconds when the last wait ends
 */
record Backoff(long firstNanoseconds, long longestNanoseconds, long lengthNanoseconds, long untilNanoseconds) {

    /** Returns what is known before the first failure. */
    static Backoff of(long firstNanoseconds, long longestNanoseconds) {
        return new Backoff(firstNanoseconds, longestNanoseconds, 0, 0);
    }

    /** Returns whether the last wait goes on. */
    boolean isWaiting(long now) {
        return lengthNanoseconds > 0 && now - untilNanoseconds < 0;
    }

    /** Returns what is known after a failure; one of several that ran at the same time changes nothing. */
    Backoff after(long now) {
        if (isWaiting(now)) {
            return this;
        }
        boolean isFollowing = lengthNanoseconds > 0 && now - untilNanoseconds < lengthNanoseconds;
        long length = isFollowing ? Math.min(2 * lengthNanoseconds, longestNanoseconds) : firstNanoseconds;
        return new Backoff(firstNanoseconds, longestNanoseconds, length, now + length);
    }

    /** Returns what is known after the reason to wait has ended; a failure that follows soon is still one in turn. */
    Backoff endedAt(long now) {
        return isWaiting(now) ? new Backoff(firstNanoseconds, longestNanoseconds, lengthNanoseconds, now) : this;
    }
}
