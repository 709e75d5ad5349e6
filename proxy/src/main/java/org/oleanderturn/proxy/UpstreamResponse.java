package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;

/**
 * An answer from another node or from a target, whose body is still to come.
 *
 * <p>Invariant: the connection goes back to its pool only when the body was read to its stated end; otherwise it is cut.
 * Used by one thread.
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

    /** Returns every header, in order. */
    public List<HeaderField> headers() {
        return headers;
    }

    /** Returns the value of the first header with the given name. */
    public Optional<String> header(String name) {
        return HeaderField.find(headers, name);
    }

    /** Returns the body's length in bytes, or {@link Response#UNKNOWN_LENGTH}. */
    public long length() {
        HttpEntity entity = response.getEntity();
        if (entity == null) {
            return HeaderValues.findNumber(headers, HttpHeaders.CONTENT_LENGTH).orElse(0);
        }
        return entity.getContentLength() < 0 ? Response.UNKNOWN_LENGTH : entity.getContentLength();
    }

    /** Returns whether the body ended early, rather than its reader. */
    boolean hasReadFailed() {
        return hasReadFailed;
    }

    // -- commands

    /**
     * Reads the whole body.
     *
     * @return the body; empty when it is longer than the limit
     * @throws IOException when the body ends early
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

    @Override
    public void writeTo(OutputStream output) throws IOException {
        HttpEntity entity = response.getEntity();
        if (entity != null) {
            copy(entity.getContent(), output);
        }
        connection.markResponseRead();
    }

    /** Cuts the connection unless the answer is closed; thread safe. */
    void abort() {
        connection.abort();
    }

    @Override
    public void close() {
        connection.close();
    }

    private void copy(InputStream input, OutputStream output) throws IOException {
        byte[] chunk = new byte[COPY_BUFFER_BYTES];
        int count = read(input, chunk);
        while (count >= 0) {
            output.write(chunk, 0, count);
            if (input.available() == 0) {
                output.flush();
            }
            count = read(input, chunk);
        }
    }

    private int read(InputStream input, byte[] chunk) throws IOException {
        hasReadFailed = true;
        int count = input.read(chunk);
        hasReadFailed = false;
        return count;
    }
}
