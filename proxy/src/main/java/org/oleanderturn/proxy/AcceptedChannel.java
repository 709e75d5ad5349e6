package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An accepted channel whose peer's disconnect can be detected while a request is being served.
 *
 * <p>Thread safe, but for the restrictions of {@link LookaheadInputStream}.
 */
final class AcceptedChannel {
    private final SocketChannel channel;
    /** How much is discarded, and for how long, before a connection with unread input is closed. */
    private static final int DISCARD_LIMIT_BYTES = 1_000_000;

    private static final Duration DISCARD_LIMIT = Duration.ofMillis(500);
    private static final int DISCARD_BUFFER_BYTES = 8_192;

    private final LookaheadInputStream input;
    private final OutputStream output;
    private volatile boolean isInputUnread;

    private AcceptedChannel(SocketChannel channel, LookaheadInputStream input, OutputStream output) {
        this.channel = channel;
        this.input = input;
        this.output = output;
    }

    /** Returns an accepted channel, which sends small writes at once. */
    static AcceptedChannel of(SocketChannel channel, BodyReservation reservation) throws IOException {
        Objects.requireNonNull(channel, "channel is null");
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        ReentrantLock modeLock = new ReentrantLock();
        LookaheadInputStream input = LookaheadInputStream.of(
                channel.socket().getInputStream(), buffer -> readArrived(channel, modeLock, buffer), reservation);
        return new AcceptedChannel(
                channel, input, new LockedOutputStream(channel.socket().getOutputStream(), modeLock));
    }

    /**
     * Reads without waiting. A write meanwhile would fail, because the channel does not block for a moment. During a write
     * nothing is read: it may wait for a slow peer, and fails if the peer has left.
     */
    private static int readArrived(SocketChannel channel, ReentrantLock modeLock, ByteBuffer buffer)
            throws IOException {
        if (!modeLock.tryLock()) {
            return LookaheadInputStream.ArrivedBytes.UNKNOWN;
        }
        try {
            channel.configureBlocking(false);
            try {
                return channel.read(buffer);
            } finally {
                channel.configureBlocking(true);
            }
        } finally {
            modeLock.unlock();
        }
    }

    /** Returns whether the peer has the address that it connected to. */
    boolean isFromOwnHost() {
        Socket socket = channel.socket();
        return socket.getInetAddress() != null && socket.getInetAddress().equals(socket.getLocalAddress());
    }

    Socket socket() {
        return channel.socket();
    }

    LookaheadInputStream input() {
        return input;
    }

    OutputStream output() {
        return output;
    }

    /** Returns whether bytes have arrived that have not been read. */
    boolean hasInput() throws IOException {
        return input.available() > 0;
    }

    void markInputUnread() {
        isInputUnread = true;
    }

    /** Returns whether input may arrive that nobody reads. */
    boolean isInputUnread() {
        return isInputUnread;
    }

    /**
     * Ends the output and discards input until the peer has closed the connection, for a short time. A connection that is
     * closed with unread input is reset, and the peer might lose the response that it was sent.
     */
    void discardInput() throws IOException {
        input.endChecks();
        Socket socket = channel.socket();
        InputStream source = socket.getInputStream();
        socket.shutdownOutput();
        long end = System.nanoTime() + DISCARD_LIMIT.toNanos();
        byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
        int discarded = 0;
        while (discarded < DISCARD_LIMIT_BYTES) {
            long remainingMilliseconds = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (remainingMilliseconds <= 0) {
                return;
            }
            socket.setSoTimeout(Math.toIntExact(remainingMilliseconds));
            int count = source.read(buffer, 0, buffer.length);
            if (count < 0) {
                return;
            }
            discarded += count;
        }
    }

    void close() {
        IoUtilities.closeQuietly(channel);
    }
}
