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
import org.oleanderturn.model.Codec;

/**
 * Frames over one connection: four bytes of length, most significant first, then the frame in MessagePack.
 *
 * <p>Invariant: after a read other than {@link FrameReadResult.Complete} the connection is of no further use. Used by one
 * thread at a time; {@link #close} may be called by any.
 */
final class FrameChannel implements AutoCloseable {
    private static final int PREFIX_BYTES = Integer.BYTES;
    private static final int DISCARD_BUFFER_BYTES = 64 * 1024;
    private static final Duration LINGER = Duration.ofMillis(200);

    private final SocketChannel channel;
    private final ScheduledExecutorService deadlineExecutor;

    private FrameChannel(SocketChannel channel, ScheduledExecutorService deadlines) {
        this.channel = channel;
        this.deadlineExecutor = deadlines;
    }

    static FrameChannel of(SocketChannel channel, ScheduledExecutorService deadlines) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        return new FrameChannel(channel, deadlines);
    }

    static FrameChannel connect(Address peer, Duration timeout, ScheduledExecutorService deadlines) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.socket().connect(new InetSocketAddress(peer.host(), peer.port()), toMilliseconds(timeout));
            return of(channel, deadlines);
        } catch (IOException | RuntimeException cause) {
            channel.close();
            throw cause instanceof IOException failure ? failure : new IOException(cause);
        }
    }

    // -- encoding

    static byte[] encode(Frame frame) {
        byte[] body = Codec.messagePack().encode(frame);
        return ByteBuffer.allocate(PREFIX_BYTES + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }

    static int bodyBytes(byte[] encoded) {
        return encoded.length - PREFIX_BYTES;
    }

    // -- core operations

    /** Writes an encoded frame; an exception says that the frame was not written whole. */
    void write(byte[] encoded, Duration timeout) throws IOException {
        Future<?> deadline = closeAfter(timeout);
        try {
            ByteBuffer buffer = ByteBuffer.wrap(encoded);
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
            throw new IOException("the process is stopping", cause);
        }
    }

    /**
     * Reads one frame.
     *
     * @param silence time for the first byte
     * @param whole time from the first byte to the last
     */
    FrameReadResult read(Duration silence, Duration whole, int maximumFrameBytes) {
        ReadProgress reading = new ReadProgress();
        try {
            return read(reading, silence, whole, maximumFrameBytes);
        } catch (SocketTimeoutException cause) {
            return reading.isStarted ? new FrameReadResult.Stalled() : new FrameReadResult.IdleTimeout();
        } catch (IOException | UncheckedIOException cause) {
            String reason = String.valueOf(cause.getMessage());
            return reading.isStarted ? new FrameReadResult.Truncated(reason) : new FrameReadResult.Closed(reason);
        }
    }

    private FrameReadResult read(ReadProgress reading, Duration silence, Duration whole, int maximumFrameBytes)
            throws IOException {
        byte[] prefix = new byte[PREFIX_BYTES];
        reading.endNanoseconds = System.nanoTime() + silence.toNanos();
        if (!readFully(prefix, 1, 0, reading)) {
            return new FrameReadResult.Closed("closed by the peer");
        }
        reading.isStarted = true;
        reading.endNanoseconds = System.nanoTime() + whole.toNanos();
        if (!readFully(prefix, PREFIX_BYTES, 1, reading)) {
            return new FrameReadResult.Truncated("closed by the peer within the length");
        }
        int bodyBytes = ByteBuffer.wrap(prefix).getInt();
        if (bodyBytes < 0 || bodyBytes > maximumFrameBytes) {
            return new FrameReadResult.Oversize(Integer.toUnsignedLong(bodyBytes));
        }
        return readBody(reading, bodyBytes);
    }

    private FrameReadResult readBody(ReadProgress reading, int bodyBytes) throws IOException {
        byte[] body = new byte[bodyBytes];
        if (!readFully(body, bodyBytes, 0, reading)) {
            return new FrameReadResult.Truncated("closed by the peer within the frame");
        }
        return Codec.messagePack()
                .decode(body, Frame.class)
                .fold(
                        failure -> new FrameReadResult.Malformed(failure.reason()),
                        frame -> new FrameReadResult.Complete(frame, PREFIX_BYTES + (long) bodyBytes));
    }

    private boolean readFully(byte[] target, int end, int start, ReadProgress reading) throws IOException {
        Socket socket = channel.socket();
        InputStream input = socket.getInputStream();
        int position = start;
        while (position < end) {
            socket.setSoTimeout(remainingMilliseconds(reading.endNanoseconds));
            int count = input.read(target, position, end - position);
            if (count < 0) {
                return false;
            }
            position += count;
        }
        return true;
    }

    private static int remainingMilliseconds(long endNanoseconds) throws SocketTimeoutException {
        long remaining = TimeUnit.NANOSECONDS.toMillis(endNanoseconds - System.nanoTime());
        if (remaining <= 0) {
            throw new SocketTimeoutException("deadline passed");
        }
        return (int) Math.min(remaining, Integer.MAX_VALUE);
    }

    private static int toMilliseconds(Duration duration) {
        return (int) Math.clamp(duration.toMillis(), 1, Integer.MAX_VALUE);
    }

    // -- derived operations

    /** Returns whether the peer has neither closed the connection nor sent bytes that nobody asked for. */
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

    /** Ends the sending side and reads what still arrives for a short time, so that the last answer isn't lost. */
    void closeGracefully() {
        try (this) {
            channel.shutdownOutput();
            discardInput();
        } catch (IOException cause) {
            close();
        }
    }

    private void discardInput() throws IOException {
        ReadProgress reading = new ReadProgress();
        reading.endNanoseconds = System.nanoTime() + LINGER.toNanos();
        byte[] discarded = new byte[DISCARD_BUFFER_BYTES];
        while (readFully(discarded, DISCARD_BUFFER_BYTES, 0, reading)) {
            reading.isStarted = true;
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException cause) {
            throw new UncheckedIOException("connection can't be closed", cause);
        }
    }

    /** How far the reading of one frame has come. */
    private static final class ReadProgress {
        private boolean isStarted;
        private long endNanoseconds;
    }
}
