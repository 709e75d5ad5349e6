package org.oleanderturn.traffic;

import java.time.Duration;

/**
 * Paces the requests to a target that limits its rate: a token bucket that is empty at first, as others may have used the
 * rate up before.
 *
 * <p>Invariant: in any span of time, no more requests pass than the rate allows in it, plus a burst. Not thread safe.
 */
final class RequestPacer {
    /** Evens out arrivals that come unevenly. */
    private static final double BURST_SECONDS = 0.5;

    /**
     * The lowest rate in requests per second, whatever the target takes, as only its responses can say that the limit has
     * changed.
     */
    private static final double LOWEST_RATE = 0.2;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private double rate;
    private double tokens;
    private long updatedNanoseconds;

    private RequestPacer(double rate, long now) {
        this.rate = rate;
        this.updatedNanoseconds = now;
    }

    /** Returns a pacer from which no request passes yet. */
    static RequestPacer of(double requestsPerSecond, long now) {
        return new RequestPacer(Math.max(LOWEST_RATE, requestsPerSecond), now);
    }

    /** Changes the rate; the burst that has been saved is kept as far as the new rate allows. */
    void changeRate(double requestsPerSecond, long now) {
        refill(now);
        rate = Math.max(LOWEST_RATE, requestsPerSecond);
        tokens = Math.min(tokens, capacity());
    }

    /** Lets one request pass; returns false if the rate doesn't allow it yet. */
    boolean tryPass(long now) {
        refill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the time until the request at a position, where 1 is the next one, may pass. */
    Duration untilPass(int position, long now) {
        refill(now);
        return Duration.ofNanos((long) Math.ceil(Math.max(0, position - tokens) / rate * NANOSECONDS_PER_SECOND));
    }

    private void refill(long now) {
        tokens = Math.min(capacity(), tokens + (now - updatedNanoseconds) * rate / NANOSECONDS_PER_SECOND);
        updatedNanoseconds = now;
    }

    private double capacity() {
        return Math.max(1, rate * BURST_SECONDS);
    }
}
