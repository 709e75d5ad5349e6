package org.oleanderturn.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Objects;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * An input buffer whose lines are checked before the library parses them: it joins folded lines and skips blanks, after which
 * a malformed line can't be told from a sound one.
 *
 * <p>Used by one thread.
 */
abstract class CheckedLines implements SessionInputBuffer {
    private final SessionInputBuffer buffer;

    CheckedLines(SessionInputBuffer buffer) {
        this.buffer = Objects.requireNonNull(buffer, "buffer is null");
    }

    /**
     * Reads a line without its end into an empty buffer.
     *
     * @return the length of the line; -1 at the end of the connection
     * @throws IOException if the line is malformed
     */
    @Override
    public abstract int readLine(CharArrayBuffer line, InputStream source) throws IOException;

    final SessionInputBuffer unchecked() {
        return buffer;
    }

    @Override
    public final int length() {
        return buffer.length();
    }

    @Override
    public final int capacity() {
        return buffer.capacity();
    }

    @Override
    public final int available() {
        return buffer.available();
    }

    @Override
    public int read(byte[] bytes, int offset, int length, InputStream source) throws IOException {
        return buffer.read(bytes, offset, length, source);
    }

    @Override
    public int read(byte[] bytes, InputStream source) throws IOException {
        return buffer.read(bytes, source);
    }

    @Override
    public int read(InputStream source) throws IOException {
        return buffer.read(source);
    }

    @Override
    public final HttpTransportMetrics getMetrics() {
        return buffer.getMetrics();
    }
}
