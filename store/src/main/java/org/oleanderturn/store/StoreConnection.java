package org.oleanderturn.store;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.Objects;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.oleanderturn.http.ResponseConnection;

/**
 * A connection to the store that bounds what is kept of a response, and the whole time that one takes.
 *
 * <p>Not thread safe: used by one thread at a time.
 */
final class StoreConnection extends ResponseConnection {
    /** A dozen values of the largest size in base64; a watch that has more fails, and its key is read again. */
    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1_024 * 1_024;

    /** More than any head of the store has. */
    private static final Http1Config HEAD_LIMITS =
            Http1Config.custom().setMaxLineLength(8_192).setMaxHeaderCount(64).build();

    private final LimitedInput input;

    private StoreConnection(LimitedInput input) {
        super(HEAD_LIMITS);
        this.input = input;
    }

    /**
     * Returns a connection over an open socket.
     *
     * @param maximumExchange limits an exchange, the wait for its response included
     */
    static StoreConnection of(Socket socket, Duration maximumExchange) throws IOException {
        Objects.requireNonNull(maximumExchange, "maximumExchange is null");
        LimitedInput input = new LimitedInput(socket.getInputStream(), MAXIMUM_RESPONSE_BYTES, maximumExchange);
        StoreConnection connection = new StoreConnection(input);
        connection.bind(new LimitedSocketHolder(socket, input));
        return connection;
    }

    @Override
    public void sendRequestHeader(ClassicHttpRequest request) throws HttpException, IOException {
        input.restart();
        super.sendRequestHeader(request);
    }

    private static final class LimitedSocketHolder extends SocketHolder {
        private final LimitedInput input;

        LimitedSocketHolder(Socket socket, LimitedInput input) {
            super(socket);
            this.input = input;
        }

        @Override
        protected InputStream getInputStream(Socket socket) {
            return input;
        }
    }
}
