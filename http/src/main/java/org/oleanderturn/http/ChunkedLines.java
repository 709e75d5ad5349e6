package org.oleanderturn.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.HexFormat;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The lines of a body in the chunked coding: the size of each chunk, the end of its data, and the fields of the trailer
 * section.
 *
 * <p>Invariant: a read fails at the end of the connection; the library takes a size or data that breaks off there for the end of
 * the body. Used by one thread, for one body.
 */
final class ChunkedLines extends CheckedLines {
    private enum Part {
        SIZE,
        END_OF_DATA,
        TRAILER
    }

    private final int maximumLength;
    private Part expected = Part.SIZE;

    /**
     * Returns the lines of a body that begins with the next byte of a buffer.
     *
     * @param maximumLength limits the length of a line in bytes; no limit if it is 0 or less
     */
    ChunkedLines(SessionInputBuffer buffer, int maximumLength) {
        super(buffer);
        this.maximumLength = maximumLength;
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream source) throws IOException {
        readWholeLine(line, source);
        switch (expected) {
            case SIZE -> {
                require(LineSyntax.isChunkSize(line), "the size of a chunk is malformed");
                expected = isLastChunk(line) ? Part.TRAILER : Part.END_OF_DATA;
            }
            case END_OF_DATA -> {
                require(line.isEmpty(), "a chunk is longer than its size");
                expected = Part.SIZE;
            }
            case TRAILER ->
                require(line.isEmpty() || isTrailerField(line), "a line of the trailer section is no trailer field");
        }
        return line.length();
    }

    @Override
    public int read(byte[] bytes, int offset, int length, InputStream source) throws IOException {
        return requireOpen(super.read(bytes, offset, length, source));
    }

    @Override
    public int read(byte[] bytes, InputStream source) throws IOException {
        return requireOpen(super.read(bytes, source));
    }

    @Override
    public int read(InputStream source) throws IOException {
        return requireOpen(super.read(source));
    }

    private void readWholeLine(CharArrayBuffer line, InputStream source) throws IOException {
        int next = read(source);
        while (next != '\n') {
            if (maximumLength > 0 && line.length() >= maximumLength) {
                throw new MessageConstraintException("a line of the chunked body has over " + maximumLength + " bytes");
            }
            line.append((char) next);
            next = read(source);
        }
        int end = line.length() - 1;
        require(end >= 0 && line.charAt(end) == '\r', "a line of the chunked body ends without a carriage return");
        line.setLength(end);
    }

    private static int requireOpen(int result) throws ConnectionClosedException {
        if (result < 0) {
            throw new ConnectionClosedException("the connection ended within a chunked body");
        }
        return result;
    }

    private static boolean isLastChunk(CharSequence size) {
        int position = 0;
        while (position < size.length() && size.charAt(position) == '0') {
            position++;
        }
        return position == size.length() || !HexFormat.isHexDigit(size.charAt(position));
    }

    /** Fields that tell the length of the body are not allowed behind it, by RFC 9110, section 6.5.1. */
    private static boolean isTrailerField(CharArrayBuffer line) {
        if (!LineSyntax.isField(line)) {
            return false;
        }
        String name = line.substring(0, line.indexOf(':'));
        return !name.equalsIgnoreCase(HttpHeaders.CONTENT_LENGTH)
                && !name.equalsIgnoreCase(HttpHeaders.TRANSFER_ENCODING);
    }

    /** Fails with the exception after which the library reads no further chunk. */
    private static void require(boolean isSound, String message) throws MalformedChunkCodingException {
        if (!isSound) {
            throw new MalformedChunkCodingException(message);
        }
    }
}
