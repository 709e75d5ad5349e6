package org.oleanderturn.claims;

import java.time.Duration;
import java.util.Objects;

/**
 * How bookings are claimed.
 *
 * <p>Invariant: a claim starts long before its retention ends. Immutable and thread safe.
 *
 * @param retention how long a key stays claimed at least, from the call that claimed it
 * @param startWithin how long after its claim a booking may still start
 * @param attempts how often a write whose answer was lost is sent in one call
 * @param retryAfter when a caller should come back
 */
public record ClaimSettings(Duration retention, Duration startWithin, int attempts, Duration retryAfter) {
    private static final Duration DEFAULT_RETENTION = Duration.ofHours(24);
    private static final Duration DEFAULT_START_WITHIN = Duration.ofSeconds(30);
    private static final int DEFAULT_ATTEMPTS = 3;
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(2);
    private static final int MINIMUM_RETENTION_FACTOR = 10;

    /** Checks the parts against each other. */
    public ClaimSettings {
        Objects.requireNonNull(retention, "retention is null");
        Objects.requireNonNull(startWithin, "startWithin is null");
        Objects.requireNonNull(retryAfter, "retryAfter is null");
        if (startWithin.multipliedBy(MINIMUM_RETENTION_FACTOR).compareTo(retention) > 0) {
            throw new IllegalArgumentException("startWithin is over a tenth of the retention: " + startWithin);
        }
        if (attempts < 1) {
            throw new IllegalArgumentException("attempts is below 1: " + attempts);
        }
    }

    /** Returns the default settings. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(DEFAULT_RETENTION, DEFAULT_START_WITHIN, DEFAULT_ATTEMPTS, DEFAULT_RETRY_AFTER);
    }

    /** Returns these settings with another retention. */
    public ClaimSettings withRetention(Duration newRetention) {
        return new ClaimSettings(newRetention, startWithin, attempts, retryAfter);
    }
}
