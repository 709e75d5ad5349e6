package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Objects;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;

/**
 * The HttpCore entity of a streamed response body.
 *
 * <p>Invariant: if the source fails, the connection is closed before HttpCore can write the end of the body, so that
 * the peer cannot mistake a truncated body for a complete one. Not thread safe.
 */
final class ResponseEntity extends AbstractHttpEntity {
    private final Response.Body.Streamed body;
    private final ServerConnection serverConnection;

    private ResponseEntity(Response.Body.Streamed body, ServerConnection serverConnection) {
        super((String) null, null, body.length() == Response.UNKNOWN_LENGTH);
        this.body = body;
        this.serverConnection = serverConnection;
    }

    static HttpEntity of(Response.Body body, ServerConnection serverConnection) {
        Objects.requireNonNull(body, "body is null");
        return switch (body) {
            case Response.Body.Buffered buffered -> new ByteArrayEntity(buffered.bytes(), null);
            case Response.Body.Streamed streamed -> new ResponseEntity(streamed, serverConnection);
        };
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        try {
            body.source().writeTo(output);
        } catch (IOException | RuntimeException cause) {
            serverConnection.abort();
            throw cause;
        } finally {
            body.source().close();
        }
    }

    @Override
    public long getContentLength() {
        return body.length();
    }

    @Override
    public boolean isStreaming() {
        return true;
    }

    @Override
    public InputStream getContent() {
        throw new UnsupportedOperationException("a streamed body can only be written");
    }

    @Override
    public void close() {
        body.source().close();
    }
}
