package org.oleanderturn.proxy;

import java.time.Duration;

/**
 * What an HTTP listener takes from one peer and from all.
 *
 * @param maximumConnections connections at once
 * @param idleTimeout how long a connection may stand without a request
 * @param maximumLineBytes the longest request line or header
 * @param maximumHeaders the most headers of a request
 * @param disconnectWatchDelay how long a request runs before its peer is watched for going away; a watch costs as much as a short
 *     request
 */
public record ListenerLimits(
        int maximumConnections,
        Duration idleTimeout,
        int maximumLineBytes,
        int maximumHeaders,
        Duration disconnectWatchDelay) {
    private static final ListenerLimits DEFAULTS =
            new ListenerLimits(4_096, Duration.ofSeconds(60), 8_192, 128, Duration.ZERO);

    /** Returns the limits of a listener that has no settings of its own. */
    public static ListenerLimits defaults() {
        return DEFAULTS;
    }
}
