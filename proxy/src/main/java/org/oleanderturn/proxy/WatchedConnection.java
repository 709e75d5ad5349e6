package org.oleanderturn.proxy;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * A connection that reads through the stream that looks ahead.
 *
 * <p>Not thread safe; one thread may read while another writes.
 */
final class WatchedConnection extends DefaultBHttpServerConnection {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Keeps the library's input buffer, which the library shows only to parsers. */
    private static final class BufferCapture implements HttpMessageParserFactory<ClassicHttpRequest> {
        private final HttpMessageParserFactory<ClassicHttpRequest> delegate;
        private SessionInputBuffer buffer;

        BufferCapture(HttpMessageParserFactory<ClassicHttpRequest> delegate) {
            this.delegate = delegate;
        }

        @Override
        public HttpMessageParser<ClassicHttpRequest> create(Http1Config settings) {
            return capturing(delegate.create(settings));
        }

        @Override
        public HttpMessageParser<ClassicHttpRequest> create() {
            return capturing(delegate.create());
        }

        private HttpMessageParser<ClassicHttpRequest> capturing(HttpMessageParser<ClassicHttpRequest> parser) {
            return (input, source) -> {
                buffer = input;
                return parser.parse(input, source);
            };
        }
    }

    private final AcceptedChannel channel;
    private final BufferCapture capture;

    private WatchedConnection(Http1Config settings, AcceptedChannel channel, BufferCapture capture) {
        super("http", settings, null, null, null, null, capture, null);
        this.channel = channel;
        this.capture = capture;
    }

    static WatchedConnection of(Http1Config settings, AcceptedChannel channel) {
        // The default parser factory ignores the limit of the settings on the number of headers.
        return of(settings, channel, new DefaultHttpRequestParserFactory(settings));
    }

    /** Returns a connection whose requests are read by the parsers of a factory. */
    static WatchedConnection of(
            Http1Config settings, AcceptedChannel channel, HttpMessageParserFactory<ClassicHttpRequest> parsers) {
        return new WatchedConnection(settings, channel, new BufferCapture(parsers));
    }

    /** Fails, unlike the library, when the connection ends before the empty line that closes the head. */
    @Override
    public ClassicHttpRequest receiveRequestHeader() throws HttpException, IOException {
        ClassicHttpRequest request = super.receiveRequestHeader();
        if (request != null && channel.input().hasReadEnd()) {
            throw new ConnectionClosedException("the connection ended within the head of a request");
        }
        return request;
    }

    /** Returns what the library has read behind the last request to the stream, where a check can see it. */
    void putBackInput(long arrivalNanoseconds) throws IOException {
        int length = capture.buffer == null ? 0 : capture.buffer.length();
        if (length > 0) {
            byte[] bytes = new byte[length];
            int count = capture.buffer.read(bytes, 0, length, InputStream.nullInputStream());
            if (count != length) {
                throw new IOException("the input buffer returned " + count + " of " + length + " bytes");
            }
            channel.input().putBack(bytes, arrivalNanoseconds);
        }
    }

    @Override
    public void close() throws IOException {
        if (isOpen() && channel.isInputUnread()) {
            flush();
            try {
                channel.discardInput();
            } catch (IOException silent) {
                log.atFinest().withCause(silent).log("the peer did not close the connection in time");
            }
        }
        super.close();
    }

    void bind() throws IOException {
        bind(new SocketHolder(channel.socket()) {
            @Override
            protected InputStream getInputStream(Socket socket) {
                return channel.input();
            }

            @Override
            protected OutputStream getOutputStream(Socket socket) {
                return channel.output();
            }
        });
    }
}
