package org.oleanderturn.proxy;

import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * A connection that a listener serves.
 *
 * <p>Invariant: it is busy from the moment its request's headers are read until the answer is written. Thread safe.
 */
final class ServedConnection {
    private static final Duration SHORTEST = Duration.ofMillis(1);
    static final String ATTRIBUTE = "oleanderturn.served-connection";

    private final WatchedSocket socket;
    private final DefaultBHttpServerConnection connection;
    private final Duration idle;
    private final AtomicBoolean busy = new AtomicBoolean();

    private ServedConnection(WatchedSocket socket, DefaultBHttpServerConnection connection, Duration idle) {
        this.socket = socket;
        this.connection = connection;
        this.idle = idle;
    }

    static ServedConnection of(WatchedSocket socket, DefaultBHttpServerConnection connection, Duration idle) {
        Objects.requireNonNull(socket, "socket is null");
        Objects.requireNonNull(connection, "connection is null");
        return new ServedConnection(socket, connection, idle);
    }

    boolean isBusy() {
        return busy.get();
    }

    /** Returns whether a request has come that is not yet served. */
    boolean hasInput() {
        try {
            return connection.isOpen() && socket.hasInput();
        } catch (IOException broken) {
            return false;
        }
    }

    void begin() {
        busy.set(true);
    }

    void finish() {
        busy.set(false);
    }

    void watch(Runnable onPeerGone) throws IOException {
        socket.watch(onPeerGone);
    }

    void unwatch() throws IOException {
        socket.unwatch();
    }

    /** Shortens the wait for the peer's next bytes; a failed read leaves it so, for the connection is then closed. */
    void limitReads(Duration longest) {
        Duration shorter = longest.compareTo(idle) < 0 ? longest : idle;
        connection.setSocketTimeout(Timeout.of(shorter.compareTo(SHORTEST) < 0 ? SHORTEST : shorter));
    }

    void unlimitReads() {
        connection.setSocketTimeout(Timeout.of(idle));
    }

    /** Closes the connection after what was sent on it. */
    void retire() {
        Quietly.close(socket);
    }

    /** Cuts the connection, so that an answer begun on it can't pass for a whole one. */
    void abort() {
        connection.close(CloseMode.IMMEDIATE);
        Quietly.close(socket);
    }
}
