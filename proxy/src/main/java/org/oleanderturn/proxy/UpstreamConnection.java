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
import java.util.Optional;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.util.Timeout;
import org.oleanderturn.http.ResponseConnection;
import org.oleanderturn.model.Address;

/**
 * A connection to another node or to a target with a stale check that does not block: it detects whether the peer has
 * closed the connection or sent unexpected bytes.
 *
 * <p>Not thread safe: used by one thread at a time.
 */
final class UpstreamConnection extends ResponseConnection {
    private static final Timeout PROBE_TIMEOUT = Timeout.ofMilliseconds(1);

    private final SocketChannel channel;
    private Optional<ReceiveLimits> limits = Optional.empty();
    private volatile boolean isProbing;
    private volatile long lastUsedNanoseconds = System.nanoTime();
    private volatile long lastReceivedNanoseconds = System.nanoTime();

    private UpstreamConnection(Http1Config settings, SocketChannel channel) {
        super(settings);
        this.channel = channel;
    }

    /** Opens a connection to a peer; the timeout applies to the TCP handshake, which a cancellation ends. */
    static UpstreamConnection connect(Address peer, Duration timeout, Http1Config settings, Cancellation cancellation)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        cancellation.onCancel(() -> IoUtilities.closeQuietly(channel));
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

    /** Applies the limits to all reads until they are replaced or removed. */
    void limitReads(ReceiveLimits readLimits) {
        limits = Optional.of(readLimits);
    }

    /** Records that part of the response's body has been decoded. */
    void recordBodyRead() {
        limits.ifPresent(ReceiveLimits::recordBodyRead);
    }

    /** Removes the limits; the timeout then applies to each read. */
    void removeReadLimits(Timeout readTimeout) {
        limits.ifPresent(ReceiveLimits::close);
        limits = Optional.empty();
        setSocketTimeout(readTimeout);
    }

    /** Records the current time as the time of the last use. */
    void markUsed() {
        lastUsedNanoseconds = System.nanoTime();
    }

    /** Returns whether the connection has been unused for longer than the given duration. */
    boolean isIdleFor(Duration duration) {
        return System.nanoTime() - lastUsedNanoseconds > duration.toNanos();
    }

    /** Returns whether bytes have been received, or the connection has been opened, after a moment of {@link System#nanoTime}. */
    boolean hasReceivedSince(long momentNanoseconds) {
        return lastReceivedNanoseconds - momentNanoseconds > 0;
    }

    /** Returns whether bytes that have been received are buffered and unread. */
    boolean hasBufferedInput() throws IOException {
        isProbing = true;
        try {
            return isDataAvailable(PROBE_TIMEOUT);
        } finally {
            isProbing = false;
        }
    }

    /**
     * Returns whether the peer has closed the connection or sent bytes that belong to no expected response. A byte that is
     * read is lost, but the connection is then discarded.
     */
    boolean hasChannelInput() throws IOException {
        channel.configureBlocking(false);
        int count = channel.read(ByteBuffer.allocate(1));
        if (count == 0) {
            channel.configureBlocking(true);
        }
        return count != 0;
    }

    /** Rounds up, as 0 stands for no timeout. */
    private static int timeoutMilliseconds(Duration timeout) {
        return (int) Math.min(Integer.MAX_VALUE, timeout.plusNanos(999_999).toMillis());
    }

    /** Makes reads from the socket time out immediately while the buffer is probed. */
    private final class ProbedSocketHolder extends SocketHolder {
        ProbedSocketHolder(Socket socket) {
            super(socket);
        }

        @Override
        protected InputStream getInputStream(Socket socket) throws IOException {
            return new ProbedInputStream(super.getInputStream(socket), socket);
        }
    }

    private final class ProbedInputStream extends FilterInputStream {
        private final Socket socket;

        ProbedInputStream(InputStream source, Socket socket) {
            super(source);
            this.socket = socket;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            if (isProbing) {
                throw new EmptyBufferException();
            }
            if (limits.isPresent()) {
                socket.setSoTimeout(timeoutMilliseconds(limits.get().remaining()));
            }
            int count = in.read(bytes, offset, length);
            lastReceivedNanoseconds = System.nanoTime();
            if (limits.isPresent() && count > 0) {
                limits.get().recordRead(count);
            }
            return count;
        }
    }

    /** Signals that the buffer is empty. Has no stack trace, because it is thrown on most checks. */
    private static final class EmptyBufferException extends SocketTimeoutException {
        private static final long serialVersionUID = 1;

        EmptyBufferException() {
            super("the buffer is empty");
        }

        @Override
        public synchronized Throwable fillInStackTrace() {
            return this;
        }
    }
}
