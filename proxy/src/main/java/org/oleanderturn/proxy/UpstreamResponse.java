package org.oleanderturn.proxy;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.util.Timeout;

/**
 * A response from another node or from a target, whose body has not been read yet.
 *
 * <p>Invariant: the connection is reused only if the body was read to its end; otherwise it is closed. Not thread safe,
 * except for {@link #abort}.
 */
public final class UpstreamResponse implements Response.BodySource {
    private static final int COPY_BUFFER_BYTES = 16_384;

    private final ClassicHttpResponse response;
    private final LeasedConnection connection;
    private final List<HeaderField> headers;
    private boolean hasReadFailed;

    private UpstreamResponse(ClassicHttpResponse response, LeasedConnection connection, List<HeaderField> headers) {
        this.response = response;
        this.connection = connection;
        this.headers = headers;
    }

    static UpstreamResponse of(ClassicHttpResponse response, LeasedConnection connection) {
        Objects.requireNonNull(response, "response is null");
        Objects.requireNonNull(connection, "connection is null");
        return new UpstreamResponse(response, connection, HeaderValues.fromMessage(response));
    }

    // -- queries

    /** Returns the HTTP status. */
    public int status() {
        return response.getCode();
    }

    /** Returns all headers, in their order. */
    public List<HeaderField> headers() {
        return headers;
    }

    /** Returns the value of the first header with the given name; empty if there is none. */
    public Optional<String> header(String name) {
        return HeaderField.find(headers, name);
    }

    /** Returns the declared length of the body in bytes, or {@link Response#UNKNOWN_LENGTH}. */
    public long length() {
        HttpEntity entity = response.getEntity();
        if (entity == null) {
            return HeaderValues.findNumber(headers, HttpHeaders.CONTENT_LENGTH).orElse(0);
        }
        return entity.getContentLength() < 0 ? Response.UNKNOWN_LENGTH : entity.getContentLength();
    }

    /** Returns whether the last read from the target failed, as opposed to a write to the receiver of the body. */
    boolean hasReadFailed() {
        return hasReadFailed;
    }

    // -- commands

    /**
     * Reads the whole body.
     *
     * @param limitBytes the maximum length of the body
     * @return the body; empty if it is longer than the limit
     * @throws IOException if the body ends early or a read times out
     */
    public Optional<byte[]> readBody(int limitBytes) throws IOException {
        HttpEntity entity = response.getEntity();
        if (entity == null) {
            connection.markResponseRead();
            return Optional.of(new byte[0]);
        }
        byte[] bytes = entity.getContent().readNBytes(limitBytes + 1);
        if (bytes.length > limitBytes) {
            return Optional.empty();
        }
        connection.markResponseRead();
        return Optional.of(bytes);
    }

    /**
     * Reads the whole body into memory that stays reserved.
     *
     * @throws IOException if the body ends early, a read times out or the body exceeds its allowance
     */
    byte[] readBody(BodyAllowance allowance) throws IOException {
        HttpEntity entity = response.getEntity();
        byte[] body = entity == null
                ? new byte[0]
                : BodyReader.read(
                        new RecordedInputStream(entity.getContent(), connection.connection()),
                        entity.getContentLength(),
                        allowance.limitBytes(),
                        allowance.reservation());
        connection.markResponseRead();
        return body;
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        HttpEntity entity = response.getEntity();
        if (entity != null) {
            copy(entity.getContent(), output);
        }
        connection.markResponseRead();
    }

    /** Lets the body take any time, as long as each read of it ends within the timeout. */
    void removeReadLimits(Duration readTimeout) {
        connection.connection().removeReadLimits(Timeout.of(readTimeout));
    }

    /** Closes the connection immediately unless the response has been closed. May be called by any thread. */
    void abort() {
        connection.abort();
    }

    @Override
    public void close() {
        connection.close();
    }

    private void copy(InputStream input, OutputStream output) throws IOException {
        byte[] buffer = new byte[COPY_BUFFER_BYTES];
        int count = read(input, buffer);
        while (count >= 0) {
            output.write(buffer, 0, count);
            if (input.available() == 0) {
                output.flush();
            }
            count = read(input, buffer);
        }
    }

    private int read(InputStream input, byte[] buffer) throws IOException {
        hasReadFailed = true;
        int count = input.read(buffer);
        hasReadFailed = false;
        return count;
    }

    /** Tells the connection of each read of the body, so that what comes without a body is limited. */
    private static final class RecordedInputStream extends FilterInputStream {
        private final UpstreamConnection connection;

        RecordedInputStream(InputStream source, UpstreamConnection connection) {
            super(source);
            this.connection = connection;
        }

        @Override
        public int read() throws IOException {
            int next = in.read();
            if (next >= 0) {
                connection.recordBodyRead();
            }
            return next;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = in.read(bytes, offset, length);
            if (count > 0) {
                connection.recordBodyRead();
            }
            return count;
        }
    }
}
