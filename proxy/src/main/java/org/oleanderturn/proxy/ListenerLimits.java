package org.oleanderturn.proxy;

import java.time.Duration;

/**
 * Limits on connections and request headers of an HTTP listener.
 *
 * <p>Immutable and thread safe.
 *
 * @param maximumConnections the maximum number of open connections; further ones are closed immediately
 * @param idleTimeout how long a connection may wait for the next bytes from its peer
 * @param maximumLineBytes the maximum length of a request line or header line
 * @param maximumHeaders the maximum number of headers of a request
 * @param disconnectWatchDelay how long a request runs before its connection is watched for a disconnect; each look costs
 *     system calls, so short requests should end before the first
 */
public record ListenerLimits(
        int maximumConnections,
        Duration idleTimeout,
        int maximumLineBytes,
        int maximumHeaders,
        Duration disconnectWatchDelay) {
    private static final ListenerLimits DEFAULTS =
            new ListenerLimits(4_096, Duration.ofSeconds(60), 8_192, 128, Duration.ZERO);

    /** Returns limits for general use; disconnects are watched from the start of each request. */
    public static ListenerLimits defaults() {
        return DEFAULTS;
    }
}
