package org.oleanderturn.proxy;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.util.Timeout;
import org.oleanderturn.model.Address;

/**
 * A connection to another node or to a target that can be asked, without waiting, whether its peer has closed it or sent
 * more than the answers that were read.
 *
 * <p>Used by one thread at a time.
 */
final class UpstreamConnection extends DefaultBHttpClientConnection {
    private static final Timeout PROBE_TIMEOUT = Timeout.ofMilliseconds(1);

    private final SocketChannel channel;
    private volatile boolean isProbing;
    private volatile long lastUsedNanoseconds = System.nanoTime();

    private UpstreamConnection(Http1Config settings, SocketChannel channel) {
        super(settings);
        this.channel = channel;
    }

    /** Connects to a peer. */
    static UpstreamConnection connect(Address peer, Duration timeout, Http1Config settings) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            Socket socket = channel.socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(peer.host(), peer.port()), Math.toIntExact(timeout.toMillis()));
            UpstreamConnection connection = new UpstreamConnection(settings, channel);
            connection.bind(connection.new ProbedSocketHolder(socket));
            return connection;
        } catch (IOException | RuntimeException cause) {
            IoUtilities.closeQuietly(channel);
            throw cause;
        }
    }

    /** Notes that the connection is used now. */
    void markUsed() {
        lastUsedNanoseconds = System.nanoTime();
    }

    /** Returns whether the connection was not used for the given time. */
    boolean isIdleFor(Duration span) {
        return System.nanoTime() - lastUsedNanoseconds > span.toNanos();
    }

    /**
     * Returns whether the peer has closed the connection, or sent bytes that belong to no answer that was asked for.
     *
     * @param isChannelAsked whether bytes count that have come and were not read yet
     */
    boolean isStale(boolean isChannelAsked) throws IOException {
        return hasBufferedInput() || (isChannelAsked && hasChannelInput());
    }

    private boolean hasBufferedInput() throws IOException {
        isProbing = true;
        try {
            return isDataAvailable(PROBE_TIMEOUT);
        } finally {
            isProbing = false;
        }
    }

    /** Returns whether the channel has bytes or its end; a byte that is taken is lost with the connection. */
    private boolean hasChannelInput() throws IOException {
        channel.configureBlocking(false);
        int count = channel.read(ByteBuffer.allocate(1));
        if (count == 0) {
            channel.configureBlocking(true);
        }
        return count != 0;
    }

    /** Makes the socket's reads time out at once while the connection is probed. */
    private final class ProbedSocketHolder extends SocketHolder {
        ProbedSocketHolder(Socket socket) {
            super(socket);
        }

        @Override
        protected InputStream getInputStream(Socket socket) throws IOException {
            return new ProbedInputStream(super.getInputStream(socket));
        }
    }

    private final class ProbedInputStream extends FilterInputStream {
        ProbedInputStream(InputStream source) {
            super(source);
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            if (isProbing) {
                throw new EmptyBufferException();
            }
            return in.read(bytes, offset, length);
        }
    }

    /** Says that the connection's buffer holds nothing; thrown often, so without a stack trace. */
    private static final class EmptyBufferException extends SocketTimeoutException {
        private static final long serialVersionUID = 1;

        EmptyBufferException() {
            super("nothing is buffered");
        }

        @Override
        public synchronized Throwable fillInStackTrace() {
            return this;
        }
    }
}
