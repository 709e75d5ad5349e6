package org.oleanderturn.proxy;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.util.Timeout;
import org.oleanderturn.model.Address;

/**
 * A connection to another node or to a target that can be asked, without waiting, whether its peer sent more than the
 * answers that were read.
 *
 * <p>Used by one thread at a time.
 */
final class UpstreamConnection extends DefaultBHttpClientConnection {
    private static final Timeout SHORTEST = Timeout.ofMilliseconds(1);

    private final ProbedSocket socket;

    private UpstreamConnection(Http1Config settings, ProbedSocket socket) {
        super(settings);
        this.socket = socket;
    }

    /** Connects to a peer. */
    static UpstreamConnection dial(Address peer, Duration timeout, Http1Config settings) throws IOException {
        ProbedSocket socket = new ProbedSocket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(peer.host(), peer.port()), Math.toIntExact(timeout.toMillis()));
            UpstreamConnection connection = new UpstreamConnection(settings, socket);
            connection.bind(socket);
            return connection;
        } catch (IOException cause) {
            Quietly.close(socket);
            throw cause;
        }
    }

    /** Returns whether bytes have come that belong to no answer that was asked for. */
    boolean hasUnreadInput() throws IOException {
        socket.isProbing = true;
        try {
            return isDataAvailable(SHORTEST);
        } finally {
            socket.isProbing = false;
        }
    }

    /** A socket whose reads, while it is probed, time out at once when nothing has come. */
    private static final class ProbedSocket extends Socket {
        private volatile boolean isProbing;

        @Override
        public InputStream getInputStream() throws IOException {
            return new ProbedInputStream(super.getInputStream());
        }

        private final class ProbedInputStream extends FilterInputStream {
            ProbedInputStream(InputStream source) {
                super(source);
            }

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                if (isProbing && in.available() == 0) {
                    throw new SocketTimeoutException("nothing has come");
                }
                return in.read(bytes, offset, length);
            }
        }
    }
}
