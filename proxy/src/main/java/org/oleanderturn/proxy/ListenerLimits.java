package org.oleanderturn.proxy;

import java.time.Duration;

/**
 * What an HTTP listener takes from one peer and from all.
 *
 * @param connections connections at once
 * @param idle how long a connection may stand without a request
 * @param lineBytes the longest request line or header
 * @param headers the most headers of a request
 * @param watchDelay how long a request runs before its peer is watched for going away; a watch costs as much as a short
 *     request
 */
public record ListenerLimits(int connections, Duration idle, int lineBytes, int headers, Duration watchDelay) {
    private static final ListenerLimits STANDARD =
            new ListenerLimits(4_096, Duration.ofSeconds(60), 8_192, 128, Duration.ZERO);

    /** Returns the limits of a listener that has no settings of its own. */
    public static ListenerLimits standard() {
        return STANDARD;
    }
}
