package org.oleanderturn.store;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parses the heads of responses, and fails when the connection ends before the empty line that closes a head; the library
 * takes the end of the connection for that line.
 *
 * <p>Used by one connection; not thread safe.
 */
final class CompleteHeadParser implements HttpMessageParser<ClassicHttpResponse> {
    private static final int HIGHEST_STATUS = 599;

    private final DefaultHttpResponseParser parser;

    /** Returns a parser that rejects heads beyond the limits of the settings. */
    CompleteHeadParser(Http1Config settings) {
        parser = new DefaultHttpResponseParser(settings);
    }

    @Override
    public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream input) throws IOException, HttpException {
        EndDetector detector = new EndDetector(input);
        ClassicHttpResponse response = parse(buffer, detector);
        // The connection reports an end before the first byte itself, as a request that got no response.
        if (response != null && detector.hasEnded) {
            throw new ConnectionClosedException("the connection ended within the head of the response");
        }
        if (response != null && response.getCode() > HIGHEST_STATUS) {
            throw new ProtocolException("the response has the invalid status " + response.getCode());
        }
        return response;
    }

    /** Fails with a checked exception on a status of zero, which the library answers with one that nobody expects. */
    private ClassicHttpResponse parse(SessionInputBuffer buffer, EndDetector detector)
            throws IOException, HttpException {
        try {
            return parser.parse(buffer, detector);
        } catch (IllegalArgumentException malformed) {
            throw new ProtocolException("the response has an invalid status", malformed);
        }
    }

    private static final class EndDetector extends FilterInputStream {
        private boolean hasEnded;

        EndDetector(InputStream source) {
            super(source);
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = in.read(bytes, offset, length);
            hasEnded = hasEnded || count < 0;
            return count;
        }
    }
}
