package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Objects;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;

/**
 * A streamed body as HttpCore writes it.
 *
 * <p>Invariant: when the source fails the connection is cut before HttpCore can write the end of the body, so a truncated
 * answer never looks whole. Used by one thread.
 */
final class ResponseEntity extends AbstractHttpEntity {
    private final Response.Body.Streamed body;
    private final ServerConnection served;

    private ResponseEntity(Response.Body.Streamed body, ServerConnection served) {
        super((String) null, null, body.length() == Response.UNKNOWN_LENGTH);
        this.body = body;
        this.served = served;
    }

    static HttpEntity of(Response.Body body, ServerConnection served) {
        Objects.requireNonNull(body, "body is null");
        return switch (body) {
            case Response.Body.Buffered whole -> new ByteArrayEntity(whole.bytes(), null);
            case Response.Body.Streamed streamed -> new ResponseEntity(streamed, served);
        };
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        try {
            body.source().writeTo(output);
        } catch (IOException | RuntimeException cause) {
            served.abort();
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
        throw new UnsupportedOperationException("the body is only written");
    }

    @Override
    public void close() {
        body.source().close();
    }
}
