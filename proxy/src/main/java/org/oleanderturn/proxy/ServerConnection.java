package org.oleanderturn.proxy;

import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * A connection that a listener accepted.
 *
 * <p>Invariant: the connection is busy from when the headers of a request have been read until the responses to it and to
 * all requests that were started behind it have been written. It is closed by {@link #closeIfIdle} only if it is not busy,
 * and a request that arrives after that does not run. Thread safe.
 */
final class ServerConnection {
    /** The state of the connection. */
    private enum Phase {
        IDLE,
        BUSY,
        CLOSING
    }

    private static final Duration MINIMUM_READ_TIMEOUT = Duration.ofMillis(1);

    private final AcceptedChannel channel;
    private final DefaultBHttpServerConnection connection;
    private final Duration idleTimeout;
    private final Duration watchDelay;
    private volatile long watchDueNanoseconds;
    private volatile Optional<RequestPipeline> pipeline = Optional.empty();
    private boolean wasIdle;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.IDLE);

    private ServerConnection(
            AcceptedChannel channel,
            DefaultBHttpServerConnection connection,
            Duration idleTimeout,
            Duration watchDelay) {
        this.channel = channel;
        this.connection = connection;
        this.idleTimeout = idleTimeout;
        this.watchDelay = watchDelay;
    }

    static ServerConnection of(
            AcceptedChannel channel, DefaultBHttpServerConnection connection, ListenerLimits limits) {
        Objects.requireNonNull(channel, "channel is null");
        Objects.requireNonNull(connection, "connection is null");
        return new ServerConnection(channel, connection, limits.idleTimeout(), limits.disconnectWatchDelay());
    }

    /** Sets what serves the requests of the connection. */
    void setPipeline(RequestPipeline served) {
        pipeline = Optional.of(served);
    }

    /** Returns the number of requests that are being served or have arrived; of the latter, at most one is counted. */
    int inFlight() {
        int served = isBusy() ? pipeline.map(RequestPipeline::inService).orElse(1) : 0;
        return served > 0 || !hasInput() ? served : 1;
    }

    boolean isBusy() {
        return phase.get() == Phase.BUSY;
    }

    /** Returns whether bytes of a further request have arrived, read or not. */
    boolean hasInput() {
        return channel.input().hasReadBytes() || hasUnreadInput();
    }

    /** Returns whether bytes have arrived that have not been read as part of a request. */
    boolean hasUnreadInput() {
        try {
            return channel.hasInput();
        } catch (IOException failed) {
            return false;
        }
    }

    /**
     * Marks the connection as busy with a request.
     *
     * @throws ConnectionClosedException if the connection is being closed; the request must not run
     */
    void beginRequest() throws ConnectionClosedException {
        if (!phase.compareAndSet(Phase.IDLE, Phase.BUSY)) {
            throw new ConnectionClosedException("the connection is being closed");
        }
    }

    /** Marks the rest of the input as one that nobody reads, as the response to its request was sent before. */
    void markInputUnread() {
        channel.markInputUnread();
    }

    /**
     * Marks the connection as idle when all requests in service have been answered.
     *
     * @param hasRead whether a further request has been read, which must not be cut off
     */
    void finishRequest(boolean hasRead) {
        if (!hasRead) {
            channel.input().forgetReadBytes();
        }
        phase.compareAndSet(Phase.BUSY, Phase.IDLE);
    }

    /**
     * Sets a request's action to run when the peer is found to have disconnected, after the watch delay or by
     * {@link #hasPeerLeft}.
     */
    void watch(Object request, Runnable onDisconnect) {
        long due = System.nanoTime() + watchDelay.toNanos();
        boolean isOnly = channel.input().watch(request, onDisconnect);
        if (isOnly) {
            // Later requests of the connection must not put off the check for the earlier ones.
            watchDueNanoseconds = due;
        }
    }

    void unwatch(Object request) {
        channel.input().unwatch(request);
    }

    /** Looks for further requests, and for a disconnect if the watch delay of the oldest watched request has passed. */
    void checkPeer(long nowNanoseconds) {
        boolean isDue = nowNanoseconds - watchDueNanoseconds >= 0;
        boolean isRead = isDue && channel.input().checkWatched();
        if (pipeline.isEmpty()) {
            return;
        }
        if (isRead) {
            pipeline.get().startArrived();
        } else {
            pipeline.get().checkInput();
        }
    }

    /** Returns whether the peer has disconnected; for a thread that serves a request. */
    boolean hasPeerLeft() {
        return channel.input().hasEnded();
    }

    /** Returns whether the peer is on this host. */
    boolean isFromOwnHost() {
        return channel.isFromOwnHost();
    }

    /** Returns whether the end of the connection was found by reading, as in a message that breaks off. */
    boolean hasReadEnd() {
        return channel.input().hasReadEnd();
    }

    /** Lowers the read timeout; after a failed read it need not be restored, because the connection is then closed. */
    void shortenReadTimeout(Duration timeout) {
        Duration shorter = timeout.compareTo(idleTimeout) < 0 ? timeout : idleTimeout;
        connection.setSocketTimeout(
                Timeout.of(shorter.compareTo(MINIMUM_READ_TIMEOUT) < 0 ? MINIMUM_READ_TIMEOUT : shorter));
    }

    void restoreReadTimeout() {
        connection.setSocketTimeout(Timeout.of(idleTimeout));
    }

    /**
     * Closes the connection, unless a request is being served or has arrived; written responses are still delivered. It has
     * to be idle at two calls in a row, so that a request on its way from the socket to its reader is not cut off. For one
     * thread at a time.
     */
    void closeIfIdle() {
        boolean isIdle = phase.get() == Phase.IDLE && !hasInput();
        boolean isClosedHere = isIdle && wasIdle && phase.compareAndSet(Phase.IDLE, Phase.CLOSING);
        wasIdle = isIdle;
        if (isClosedHere) {
            channel.close();
        }
    }

    /** Closes the connection immediately, so that the peer cannot mistake a truncated response for a complete one. */
    void abort() {
        connection.close(CloseMode.IMMEDIATE);
        channel.close();
    }
}
