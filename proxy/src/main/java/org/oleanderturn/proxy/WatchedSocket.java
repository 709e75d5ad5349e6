package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Objects;
import java.util.concurrent.Executor;

/**
 * An accepted socket that detects a disconnect of the peer while a request is being served.
 *
 * <p>Invariant: the input stream is created once, on first use. Thread safe.
 */
final class WatchedSocket extends Socket {
    private final Executor executor;
    private LookaheadInputStream input;

    WatchedSocket(Executor executor) {
        this.executor = Objects.requireNonNull(executor, "executor is null");
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return lookahead();
    }

    /** Runs the action once if the peer disconnects before {@link #unwatch} is called. */
    void watch(Runnable action) throws IOException {
        lookahead().watch(action);
    }

    void unwatch() throws IOException {
        lookahead().unwatch();
    }

    /** Returns whether bytes have arrived that have not been read. */
    boolean hasInput() throws IOException {
        return lookahead().available() > 0;
    }

    private synchronized LookaheadInputStream lookahead() throws IOException {
        if (input == null) {
            input = LookaheadInputStream.of(super.getInputStream(), executor);
        }
        return input;
    }
}
