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
 * <p>Invariant: after a read other than {@link FrameRead.Whole} the connection is of no further use. Used by one
 * thread at a time; {@link #close} may be called by any.
 */
final class FrameChannel implements AutoCloseable {
    private static final int PREFIX_BYTES = Integer.BYTES;
    private static final int DISCARD_BYTES = 64 * 1024;
    private static final Duration LINGER = Duration.ofMillis(200);

    private final SocketChannel channel;
    private final ScheduledExecutorService deadlines;

    private FrameChannel(SocketChannel channel, ScheduledExecutorService deadlines) {
        this.channel = channel;
        this.deadlines = deadlines;
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
            return deadlines.schedule(this::close, timeout.toMillis(), TimeUnit.MILLISECONDS);
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
    FrameRead read(Duration silence, Duration whole, int maximumFrameBytes) {
        FrameReading reading = new FrameReading();
        try {
            return read(reading, silence, whole, maximumFrameBytes);
        } catch (SocketTimeoutException cause) {
            return reading.isStarted ? new FrameRead.Stalled() : new FrameRead.Silent();
        } catch (IOException | UncheckedIOException cause) {
            String reason = String.valueOf(cause.getMessage());
            return reading.isStarted ? new FrameRead.Truncated(reason) : new FrameRead.Ended(reason);
        }
    }

    private FrameRead read(FrameReading reading, Duration silence, Duration whole, int maximumFrameBytes)
            throws IOException {
        byte[] prefix = new byte[PREFIX_BYTES];
        reading.endNanoseconds = System.nanoTime() + silence.toNanos();
        if (!fill(prefix, 1, 0, reading)) {
            return new FrameRead.Ended("closed by the peer");
        }
        reading.isStarted = true;
        reading.endNanoseconds = System.nanoTime() + whole.toNanos();
        if (!fill(prefix, PREFIX_BYTES, 1, reading)) {
            return new FrameRead.Truncated("closed by the peer within the length");
        }
        int bodyBytes = ByteBuffer.wrap(prefix).getInt();
        if (bodyBytes < 0 || bodyBytes > maximumFrameBytes) {
            return new FrameRead.Oversize(Integer.toUnsignedLong(bodyBytes));
        }
        return readBody(reading, bodyBytes);
    }

    private FrameRead readBody(FrameReading reading, int bodyBytes) throws IOException {
        byte[] body = new byte[bodyBytes];
        if (!fill(body, bodyBytes, 0, reading)) {
            return new FrameRead.Truncated("closed by the peer within the frame");
        }
        return Codec.messagePack()
                .decode(body, Frame.class)
                .fold(
                        failure -> new FrameRead.Malformed(failure.reason()),
                        frame -> new FrameRead.Whole(frame, PREFIX_BYTES + (long) bodyBytes));
    }

    private boolean fill(byte[] target, int end, int start, FrameReading reading) throws IOException {
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
    boolean isQuiet() {
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
    void closeGently() {
        try (this) {
            channel.shutdownOutput();
            discardInput();
        } catch (IOException cause) {
            close();
        }
    }

    private void discardInput() throws IOException {
        FrameReading reading = new FrameReading();
        reading.endNanoseconds = System.nanoTime() + LINGER.toNanos();
        byte[] discarded = new byte[DISCARD_BYTES];
        while (fill(discarded, DISCARD_BYTES, 0, reading)) {
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
    private static final class FrameReading {
        private boolean isStarted;
        private long endNanoseconds;
    }
}
