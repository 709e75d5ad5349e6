package org.oleanderturn.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parses the heads of responses. Fails, unlike the library, when a head is malformed, and when the connection ends before the
 * empty line that closes it.
 *
 * <p>Used by one connection; not thread safe.
 */
final class ResponseParser implements HttpMessageParser<ClassicHttpResponse> {
    private final DefaultHttpResponseParser parser;

    /** Returns a parser that rejects heads beyond the limits of the settings. */
    ResponseParser(Http1Config settings) {
        parser = new DefaultHttpResponseParser(settings);
    }

    @Override
    public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream input) throws IOException, HttpException {
        EndDetector detector = new EndDetector(input);
        HeadLines lines = new HeadLines(buffer);
        ClassicHttpResponse response = parser.parse(lines, detector);
        if (response == null) {
            // The connection reports an end before the first byte itself, as a request that got no response.
            return response;
        }
        if (detector.hasEnded) {
            throw new ConnectionClosedException("the connection ended within the head of the response");
        }
        if (lines.fault().isPresent()) {
            throw new MalformedResponseException(lines.fault().get());
        }
        BodyLength.check(response);
        return response;
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
