package org.oleanderturn.http;

import java.util.Objects;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;

/**
 * A client's connection that takes only responses that HTTP allows.
 *
 * <p>Invariant: a response whose head breaks off or is malformed is not returned. Not thread safe: used by one thread at a time.
 */
public class ResponseConnection extends DefaultBHttpClientConnection {
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
    }
}
