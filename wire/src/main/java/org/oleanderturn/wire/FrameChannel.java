package org.oleanderturn.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.oleanderturn.model.Address;

/**
 * Reads and writes frames on one connection. A frame is encoded as its length, four bytes in big-endian order, followed
 * by the frame in MessagePack.
 *
 * <p>Invariant: after a read with a result other than {@link FrameReadResult.Complete} the connection can no longer be
 * used. Used by one thread at a time, except for {@link #close}, which may be called by any thread.
 */
final class FrameChannel implements AutoCloseable {
    private static final int PREFIX_BYTES = Integer.BYTES;
    private static final int DISCARD_BUFFER_BYTES = 64 * 1024;
    private static final Duration LINGER_TIMEOUT = Duration.ofMillis(200);

    private final SocketChannel channel;
    private final ScheduledExecutorService deadlineExecutor;

    private FrameChannel(SocketChannel channel, ScheduledExecutorService deadlineExecutor) {
        this.channel = channel;
        this.deadlineExecutor = deadlineExecutor;
    }

    static FrameChannel of(SocketChannel channel, ScheduledExecutorService deadlineExecutor) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        return new FrameChannel(channel, deadlineExecutor);
    }

    static FrameChannel connect(Address peer, Duration timeout, ScheduledExecutorService deadlineExecutor)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.socket().connect(new InetSocketAddress(peer.host(), peer.port()), toMilliseconds(timeout));
            return of(channel, deadlineExecutor);
        } catch (IOException | RuntimeException cause) {
            channel.close();
            throw cause instanceof IOException failure ? failure : new IOException(cause);
        }
    }

    // -- encoding

    static byte[] encode(Frame frame) {
        byte[] body = FrameCodec.encode(frame);
        return ByteBuffer.allocate(PREFIX_BYTES + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }

    static int bodyBytes(byte[] encoded) {
        return encoded.length - PREFIX_BYTES;
    }

    // -- core operations

    /** Writes an encoded frame; an exception means that it was not written completely. */
    void write(byte[] encoded, Duration timeout) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(encoded);
        writeAvailable(buffer);
        if (buffer.hasRemaining()) {
            writeRemaining(buffer, timeout);
        }
    }

    /** Writes what the connection takes at once; a frame that it takes whole needs no deadline. */
    private void writeAvailable(ByteBuffer buffer) throws IOException {
        channel.configureBlocking(false);
        try {
            channel.write(buffer);
        } finally {
            channel.configureBlocking(true);
        }
    }

    private void writeRemaining(ByteBuffer buffer, Duration timeout) throws IOException {
        Future<?> deadline = closeAfter(timeout);
        try {
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
        } finally {
            deadline.cancel(false);
        }
    }

    private Future<?> closeAfter(Duration timeout) throws IOException {
        try {
            return deadlineExecutor.schedule(this::close, timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException cause) {
            throw new IOException("the deadline executor is shut down", cause);
        }
    }

    /**
     * Reads one frame.
     *
     * @param firstByteTimeout time limit for the first byte
     * @param frameTimeout time limit from the first byte to the last
     */
    FrameReadResult read(Duration firstByteTimeout, Duration frameTimeout, int maximumFrameBytes) {
        ReadProgress progress = new ReadProgress();
        try {
            return read(progress, firstByteTimeout, frameTimeout, maximumFrameBytes);
        } catch (SocketTimeoutException cause) {
            return progress.isStarted ? new FrameReadResult.Stalled() : new FrameReadResult.IdleTimeout();
        } catch (IOException | UncheckedIOException cause) {
            String reason = String.valueOf(cause.getMessage());
            return progress.isStarted ? new FrameReadResult.Truncated(reason) : new FrameReadResult.Closed(reason);
        }
    }

    private FrameReadResult read(
            ReadProgress progress, Duration firstByteTimeout, Duration frameTimeout, int maximumFrameBytes)
            throws IOException {
        byte[] prefix = new byte[PREFIX_BYTES];
        progress.deadlineNanoseconds = System.nanoTime() + firstByteTimeout.toNanos();
        if (!readFully(prefix, 1, 0, progress)) {
            return new FrameReadResult.Closed("closed by the peer");
        }
        progress.isStarted = true;
        progress.deadlineNanoseconds = System.nanoTime() + frameTimeout.toNanos();
        if (!readFully(prefix, PREFIX_BYTES, 1, progress)) {
            return new FrameReadResult.Truncated("closed by the peer during the length prefix");
        }
        int bodyBytes = ByteBuffer.wrap(prefix).getInt();
        if (bodyBytes < 0 || bodyBytes > maximumFrameBytes) {
            return new FrameReadResult.Oversize(Integer.toUnsignedLong(bodyBytes));
        }
        return readBody(progress, bodyBytes);
    }

    private FrameReadResult readBody(ReadProgress progress, int bodyBytes) throws IOException {
        byte[] body = new byte[bodyBytes];
        if (!readFully(body, bodyBytes, 0, progress)) {
            return new FrameReadResult.Truncated("closed by the peer during the frame");
        }
        return FrameCodec.decode(body)
                .fold(
                        failure -> new FrameReadResult.Malformed(failure.reason()),
                        frame -> new FrameReadResult.Complete(frame, PREFIX_BYTES + (long) bodyBytes));
    }

    private boolean readFully(byte[] buffer, int endPosition, int startPosition, ReadProgress progress)
            throws IOException {
        Socket socket = channel.socket();
        InputStream input = socket.getInputStream();
        int position = startPosition;
        while (position < endPosition) {
            socket.setSoTimeout(remainingMilliseconds(progress.deadlineNanoseconds));
            int count = input.read(buffer, position, endPosition - position);
            if (count < 0) {
                return false;
            }
            position += count;
        }
        return true;
    }

    private static int remainingMilliseconds(long deadlineNanoseconds) throws SocketTimeoutException {
        long remaining = TimeUnit.NANOSECONDS.toMillis(deadlineNanoseconds - System.nanoTime());
        if (remaining <= 0) {
            throw new SocketTimeoutException("deadline passed");
        }
        return (int) Math.min(remaining, Integer.MAX_VALUE);
    }

    private static int toMilliseconds(Duration duration) {
        return (int) Math.clamp(duration.toMillis(), 1, Integer.MAX_VALUE);
    }

    // -- derived operations

    /** Returns whether the peer has neither closed the connection nor sent unexpected bytes. */
    boolean isReusable() {
        try {
            channel.configureBlocking(false);
            int count = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return count == 0;
        } catch (IOException cause) {
            return false;
        }
    }

    /**
     * Shuts down the sending side, and briefly discards further input before closing; otherwise the reset of the
     * connection could make the peer lose the last answer.
     */
    void closeGracefully() {
        try (this) {
            channel.shutdownOutput();
            discardInput();
        } catch (IOException cause) {
            close();
        }
    }

    private void discardInput() throws IOException {
        ReadProgress progress = new ReadProgress();
        progress.deadlineNanoseconds = System.nanoTime() + LINGER_TIMEOUT.toNanos();
        byte[] discarded = new byte[DISCARD_BUFFER_BYTES];
        while (readFully(discarded, DISCARD_BUFFER_BYTES, 0, progress)) {
            progress.isStarted = true;
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException cause) {
            throw new UncheckedIOException("connection could not be closed", cause);
        }
    }

    /** The progress of reading one frame. */
    private static final class ReadProgress {
        private boolean isStarted;
        private long deadlineNanoseconds;
    }
}
