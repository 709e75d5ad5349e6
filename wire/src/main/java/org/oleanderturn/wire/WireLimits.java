package org.oleanderturn.wire;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of a server or client.
 *
 * <p>Immutable and thread safe.
 *
 * @param maximumFrameBytes maximum size of an encoded frame without its length prefix, in either direction
 * @param maximumConnections maximum number of concurrent connections to a server
 * @param maximumIdleConnections maximum number of idle connections that a client keeps per peer
 * @param frameTimeout maximum time from the first byte of a frame to its last, in either direction
 * @param idleTimeout time after which a server closes a connection without requests; clients do so after half of it
 */
public record WireLimits(
        int maximumFrameBytes,
        int maximumConnections,
        int maximumIdleConnections,
        Duration frameTimeout,
        Duration idleTimeout) {
    private static final int DEFAULT_FRAME_BYTES = 2 * 1024 * 1024;
    private static final int DEFAULT_CONNECTIONS = 1024;
    private static final int DEFAULT_IDLE_CONNECTIONS = 2;
    private static final Duration DEFAULT_FRAME_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(30);

    /** Throws an {@link IllegalArgumentException} if a limit is not positive; only maximumIdleConnections may be 0. */
    public WireLimits {
        Objects.requireNonNull(frameTimeout, "frameTimeout is null");
        Objects.requireNonNull(idleTimeout, "idleTimeout is null");
        if (maximumFrameBytes < 1 || maximumConnections < 1 || maximumIdleConnections < 0) {
            throw new IllegalArgumentException("a limit is not positive");
        }
        if (frameTimeout.toMillis() < 1 || idleTimeout.toMillis() < 1) {
            throw new IllegalArgumentException("a timeout is shorter than a millisecond");
        }
    }

    /** Returns the default limits. */
    public static WireLimits defaults() {
        return new WireLimits(
                DEFAULT_FRAME_BYTES,
                DEFAULT_CONNECTIONS,
                DEFAULT_IDLE_CONNECTIONS,
                DEFAULT_FRAME_TIMEOUT,
                DEFAULT_IDLE_TIMEOUT);
    }

    /** Returns a copy with another maximum frame size. */
    public WireLimits withMaximumFrameBytes(int bytes) {
        return new WireLimits(bytes, maximumConnections, maximumIdleConnections, frameTimeout, idleTimeout);
    }

    /** Returns a copy with another maximum number of connections. */
    public WireLimits withMaximumConnections(int connections) {
        return new WireLimits(maximumFrameBytes, connections, maximumIdleConnections, frameTimeout, idleTimeout);
    }

    /** Returns a copy with other timeouts. */
    public WireLimits withTimeouts(Duration frame, Duration idle) {
        return new WireLimits(maximumFrameBytes, maximumConnections, maximumIdleConnections, frame, idle);
    }
}
