package org.oleanderturn.proxy;

import java.io.IOException;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.io.CloseMode;

/**
 * A connection that a listener serves.
 *
 * <p>Invariant: it is busy from the moment its request's headers are read until the answer is written. Thread safe.
 */
final class ServedConnection {
    static final String ATTRIBUTE = "oleanderturn.served-connection";

    private final WatchedSocket socket;
    private final DefaultBHttpServerConnection connection;
    private final AtomicBoolean busy = new AtomicBoolean();

    private ServedConnection(WatchedSocket socket, DefaultBHttpServerConnection connection) {
        this.socket = socket;
        this.connection = connection;
    }

    static ServedConnection of(WatchedSocket socket, DefaultBHttpServerConnection connection) {
        Objects.requireNonNull(socket, "socket is null");
        Objects.requireNonNull(connection, "connection is null");
        return new ServedConnection(socket, connection);
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
