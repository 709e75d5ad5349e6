package org.oleanderturn.claims;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of booking claims.
 *
 * <p>Invariant: a booking starts long before the retention of its claim ends. Immutable and thread safe.
 *
 * @param retention minimum time for which a key stays claimed, from the call that claimed it
 * @param startWithin time after the claim within which the booking may start
 * @param attempts number of times that a write is sent in one call if its answer is lost
 * @param retryAfter time after which a caller should retry
 */
public record ClaimSettings(Duration retention, Duration startWithin, int attempts, Duration retryAfter) {
    private static final Duration DEFAULT_RETENTION = Duration.ofHours(24);
    private static final Duration DEFAULT_START_WITHIN = Duration.ofSeconds(30);
    private static final int DEFAULT_ATTEMPTS = 3;
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(2);
    private static final int MINIMUM_RETENTION_FACTOR = 10;

    /** Throws an {@link IllegalArgumentException} if the start window is too long or there are no attempts. */
    public ClaimSettings {
        Objects.requireNonNull(retention, "retention is null");
        Objects.requireNonNull(startWithin, "startWithin is null");
        Objects.requireNonNull(retryAfter, "retryAfter is null");
        if (startWithin.multipliedBy(MINIMUM_RETENTION_FACTOR).compareTo(retention) > 0) {
            throw new IllegalArgumentException("startWithin exceeds a tenth of the retention: " + startWithin);
        }
        if (attempts < 1) {
            throw new IllegalArgumentException("attempts must be at least 1: " + attempts);
        }
    }

    /** Returns the default settings. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(DEFAULT_RETENTION, DEFAULT_START_WITHIN, DEFAULT_ATTEMPTS, DEFAULT_RETRY_AFTER);
    }

    /** Returns a copy of these settings with another retention. */
    public ClaimSettings withRetention(Duration newRetention) {
        return new ClaimSettings(newRetention, startWithin, attempts, retryAfter);
    }
}
