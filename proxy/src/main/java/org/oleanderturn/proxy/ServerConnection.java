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
 * <p>Invariant: the connection is busy from when the headers of a request have been read until its response has been
 * written. It is closed by {@link #closeIfIdle} only if it is not busy, and a request that arrives after that does not
 * run. Thread safe.
 */
final class ServerConnection {
    /** A disconnect watch that starts when its request has run for the watch delay. */
    private record PendingWatch(Runnable action, long dueNanoseconds) {}

    /** The state of the connection. */
    private enum Phase {
        IDLE,
        BUSY,
        CLOSING
    }

    private static final Duration MINIMUM_READ_TIMEOUT = Duration.ofMillis(1);
    static final String ATTRIBUTE = "oleanderturn.server-connection";

    private final WatchedSocket socket;
    private final DefaultBHttpServerConnection connection;
    private final Duration idleTimeout;
    private final Duration watchDelay;
    private Optional<PendingWatch> pendingWatch = Optional.empty();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.IDLE);

    private ServerConnection(
            WatchedSocket socket, DefaultBHttpServerConnection connection, Duration idleTimeout, Duration watchDelay) {
        this.socket = socket;
        this.connection = connection;
        this.idleTimeout = idleTimeout;
        this.watchDelay = watchDelay;
    }

    static ServerConnection of(WatchedSocket socket, DefaultBHttpServerConnection connection, ListenerLimits limits) {
        Objects.requireNonNull(socket, "socket is null");
        Objects.requireNonNull(connection, "connection is null");
        return new ServerConnection(socket, connection, limits.idleTimeout(), limits.disconnectWatchDelay());
    }

    boolean isBusy() {
        return phase.get() == Phase.BUSY;
    }

    /** Returns whether bytes of a further request have arrived. */
    boolean hasInput() {
        try {
            return connection.isOpen() && socket.hasInput();
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

    void finishRequest() {
        phase.compareAndSet(Phase.BUSY, Phase.IDLE);
    }

    synchronized void watch(Runnable onDisconnect) throws IOException {
        if (watchDelay.isZero()) {
            socket.watch(onDisconnect);
            return;
        }
        pendingWatch = Optional.of(new PendingWatch(onDisconnect, System.nanoTime() + watchDelay.toNanos()));
    }

    /** Starts the delayed watch if its request has run for the watch delay. */
    synchronized void startWatchIfDue(long nowNanoseconds) {
        if (pendingWatch.isEmpty() || nowNanoseconds - pendingWatch.get().dueNanoseconds() < 0) {
            return;
        }
        Runnable action = pendingWatch.get().action();
        pendingWatch = Optional.empty();
        try {
            socket.watch(action);
        } catch (IOException failed) {
            action.run();
        }
    }

    synchronized void unwatch() throws IOException {
        pendingWatch = Optional.empty();
        socket.unwatch();
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
     * Closes the connection, unless a request is being served or has arrived; written responses are still delivered.
     */
    void closeIfIdle() {
        boolean isClosedHere = !hasInput() && phase.compareAndSet(Phase.IDLE, Phase.CLOSING);
        if (isClosedHere) {
            IoUtilities.closeQuietly(socket);
        }
    }

    /** Closes the connection immediately, so that the peer cannot mistake a truncated response for a complete one. */
    void abort() {
        connection.close(CloseMode.IMMEDIATE);
        IoUtilities.closeQuietly(socket);
    }
}
