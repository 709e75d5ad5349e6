package org.oleanderturn.http;

import java.io.InputStream;
import java.util.Objects;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * A client's connection that takes only responses that HTTP allows.
 *
 * <p>Invariants: a response whose head breaks off or is malformed is not returned; reading a body fails at a malformed line of
 * the chunked coding. Not thread safe: used by one thread at a time.
 */
public class ResponseConnection extends DefaultBHttpClientConnection {
    private final int maximumLineLength;

    /** Creates a connection, not bound to a socket yet, that rejects heads beyond the limits of the settings. */
    public ResponseConnection(Http1Config settings) {
        super(
                Objects.requireNonNull(settings, "settings is null"),
                null,
                null,
                null,
                null,
                null,
                _ -> new ResponseParser(settings));
        maximumLineLength = settings.getMaxLineLength();
    }

    @Override
    protected final InputStream createContentInputStream(long length, SessionInputBuffer buffer, InputStream source) {
        SessionInputBuffer checked =
                length == ContentLengthStrategy.CHUNKED ? new ChunkedLines(buffer, maximumLineLength) : buffer;
        return super.createContentInputStream(length, checked, source);
    }
}
