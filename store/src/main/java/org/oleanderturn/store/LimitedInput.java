package org.oleanderturn.store;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Objects;
import org.apache.hc.core5.http.MessageConstraintException;

/**
 * What a peer sends on a connection, which may be bytes without end, fast or one now and then.
 *
 * <p>Invariant: once the limit on the bytes or on the whole time of an exchange is exceeded, every read fails, so that nothing
 * reads on to find the end of a response. Used by one thread at a time.
 */
final class LimitedInput extends FilterInputStream {
    private final long maximumBytes;
    private final long maximumNanoseconds;
    private long startNanoseconds = System.nanoTime();
    private long bytes;

    /** Limits what is read in one exchange. */
    LimitedInput(InputStream source, long maximumBytes, Duration maximumDuration) {
        super(Objects.requireNonNull(source, "source is null"));
        this.maximumBytes = maximumBytes;
        this.maximumNanoseconds = maximumDuration.toNanos();
    }

    /** Begins another exchange. */
    void restart() {
        startNanoseconds = System.nanoTime();
        bytes = 0;
    }

    @Override
    public int read() throws IOException {
        check();
        int value = in.read();
        bytes += value < 0 ? 0 : 1;
        check();
        return value;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        check();
        int count = in.read(buffer, offset, length);
        bytes += Math.max(0, count);
        check();
        return count;
    }

    private void check() throws IOException {
        if (bytes > maximumBytes) {
            throw new MessageConstraintException("the response has over " + maximumBytes + " bytes");
        }
        if (System.nanoTime() - startNanoseconds > maximumNanoseconds) {
            throw new SocketTimeoutException("the response took too long in all");
        }
    }
}
