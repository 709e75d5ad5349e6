package org.oleanderturn.wire;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds of a server or client.
 *
 * <p>Immutable and thread safe.
 *
 * @param maximumFrameBytes the largest encoded frame, sent or received
 * @param maximumConnections connections that a server holds at once
 * @param maximumIdleConnections idle connections that a client keeps for each peer
 * @param frameTimeout time from a frame's first byte to its last, in each direction
 * @param idleTimeout time after which a connection without a request is closed
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

    /** Checks that every bound is positive; the idle connections may be none. */
    public WireLimits {
        Objects.requireNonNull(frameTimeout, "frameTimeout is null");
        Objects.requireNonNull(idleTimeout, "idleTimeout is null");
        if (maximumFrameBytes < 1 || maximumConnections < 1 || maximumIdleConnections < 0) {
            throw new IllegalArgumentException("a bound is not positive");
        }
        if (frameTimeout.toMillis() < 1 || idleTimeout.toMillis() < 1) {
            throw new IllegalArgumentException("a timeout is under a millisecond");
        }
    }

    /** Returns the usual bounds. */
    public static WireLimits defaults() {
        return new WireLimits(
                DEFAULT_FRAME_BYTES,
                DEFAULT_CONNECTIONS,
                DEFAULT_IDLE_CONNECTIONS,
                DEFAULT_FRAME_TIMEOUT,
                DEFAULT_IDLE_TIMEOUT);
    }

    /** Returns these bounds with another largest frame. */
    public WireLimits withMaximumFrameBytes(int bytes) {
        return new WireLimits(bytes, maximumConnections, maximumIdleConnections, frameTimeout, idleTimeout);
    }

    /** Returns these bounds with another number of connections. */
    public WireLimits withMaximumConnections(int connections) {
        return new WireLimits(maximumFrameBytes, connections, maximumIdleConnections, frameTimeout, idleTimeout);
    }

    /** Returns these bounds with other timeouts. */
    public WireLimits withTimeouts(Duration frame, Duration idle) {
        return new WireLimits(maximumFrameBytes, maximumConnections, maximumIdleConnections, frame, idle);
    }
}
