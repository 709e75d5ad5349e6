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
 * A connection that a listener serves.
 *
 * <p>Invariant: it is busy from the moment its request's headers are read until the answer is written, and it is
 * retired only when it is not busy; a request that comes after that does not run. Thread safe.
 */
final class ServerConnection {
    /** A watch that starts when its request has run for a while. */
    private record PendingWatch(Runnable action, long dueNanoseconds) {}

    /** What the connection is used for. */
    private enum Phase {
        IDLE,
        BUSY,
        CLOSING
    }

    private static final Duration MINIMUM_READ_TIMEOUT = Duration.ofMillis(1);
    static final String ATTRIBUTE = "oleanderturn.served-connection";

    private final WatchedSocket socket;
    private final DefaultBHttpServerConnection connection;
    private final Duration idleTimeout;
    private final Duration watchDelay;
    private Optional<PendingWatch> pendingWatch = Optional.empty();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.IDLE);

    private ServerConnection(
            WatchedSocket socket, DefaultBHttpServerConnection connection, Duration idle, Duration watchDelay) {
        this.socket = socket;
        this.connection = connection;
        this.idleTimeout = idle;
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

    /** Returns whether a request has come that is not yet served. */
    boolean hasInput() {
        try {
            return connection.isOpen() && socket.hasInput();
        } catch (IOException broken) {
            return false;
        }
    }

    /**
     * Begins a request.
     *
     * @throws ConnectionClosedException when the connection was retired before; the request does not run
     */
    void beginRequest() throws ConnectionClosedException {
        if (!phase.compareAndSet(Phase.IDLE, Phase.BUSY)) {
            throw new ConnectionClosedException("the connection is retired");
        }
    }

    void finishRequest() {
        phase.compareAndSet(Phase.BUSY, Phase.IDLE);
    }

    synchronized void watch(Runnable onPeerGone) throws IOException {
        if (watchDelay.isZero()) {
            socket.watch(onPeerGone);
            return;
        }
        pendingWatch = Optional.of(new PendingWatch(onPeerGone, System.nanoTime() + watchDelay.toNanos()));
    }

    /** Starts a watch that was put off, once its request has run for so long. */
    synchronized void startWatchIfDue(long nowNanoseconds) {
        if (pendingWatch.isEmpty() || nowNanoseconds - pendingWatch.get().dueNanoseconds() < 0) {
            return;
        }
        Runnable action = pendingWatch.get().action();
        pendingWatch = Optional.empty();
        try {
            socket.watch(action);
        } catch (IOException broken) {
            action.run();
        }
    }

    synchronized void unwatch() throws IOException {
        pendingWatch = Optional.empty();
        socket.unwatch();
    }

    /** Shortens the wait for the peer's next bytes; a failed read leaves it so, for the connection is then closed. */
    void shortenReadTimeout(Duration longest) {
        Duration shorter = longest.compareTo(idleTimeout) < 0 ? longest : idleTimeout;
        connection.setSocketTimeout(
                Timeout.of(shorter.compareTo(MINIMUM_READ_TIMEOUT) < 0 ? MINIMUM_READ_TIMEOUT : shorter));
    }

    void restoreReadTimeout() {
        connection.setSocketTimeout(Timeout.of(idleTimeout));
    }

    /** Closes the connection after what was sent on it, unless a request has come or is served. */
    void closeIfIdle() {
        boolean isUnused = !hasInput() && phase.compareAndSet(Phase.IDLE, Phase.CLOSING);
        if (isUnused) {
            IoUtilities.closeQuietly(socket);
        }
    }

    /** Cuts the connection, so that an answer begun on it can't pass for a whole one. */
    void abort() {
        connection.close(CloseMode.IMMEDIATE);
        IoUtilities.closeQuietly(socket);
    }
}
