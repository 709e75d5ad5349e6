package org.oleanderturn.testbed;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.oleanderturn.http.ResponseConnection;
import org.oleanderturn.model.Address;
import org.oleanderturn.proxy.ProxyHeaders;

/**
 * Sends one request over a new connection and reads the complete response.
 *
 * <p>Stateless and thread safe.
 */
final class LoadClient {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final int ANSWER_TIMEOUT_MILLISECONDS = 30_000;
    private static final int BUFFER_BYTES = 8_192;
    private static final HttpRequestExecutor EXECUTOR = new HttpRequestExecutor();

    private LoadClient() {}

    /**
     * Sends a lookup or download as GET, and a booking as POST with its idempotency key and a body.
     *
     * @param bookingKey the idempotency key; empty unless the request is a booking
     */
    static LoadAttempt send(Address entry, String path, Optional<String> bookingKey) {
        Objects.requireNonNull(entry, "entry is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(bookingKey, "bookingKey is null");
        try (Socket socket = new Socket()) {
            try {
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(entry.host(), entry.port()), CONNECT_TIMEOUT_MILLISECONDS);
            } catch (IOException cause) {
                return new LoadAttempt.NotSent(String.valueOf(cause.getMessage()));
            }
            return exchange(socket, requestMessage(entry, path, bookingKey));
        } catch (IOException cause) {
            return new LoadAttempt.Broken(String.valueOf(cause.getMessage()), false);
        }
    }

    private static LoadAttempt exchange(Socket socket, BasicClassicHttpRequest message) throws IOException {
        boolean isResponseStarted = false;
        try (ResponseConnection connection = new ResponseConnection(Http1Config.DEFAULT)) {
            socket.setSoTimeout(ANSWER_TIMEOUT_MILLISECONDS);
            connection.bind(socket);
            ClassicHttpResponse response = EXECUTOR.execute(message, connection, HttpCoreContext.create());
            isResponseStarted = true;
            return completeAttempt(response, readBody(response.getEntity()));
        } catch (IOException | HttpException cause) {
            return new LoadAttempt.Broken(cause.toString(), isResponseStarted);
        }
    }

    private static long readBody(HttpEntity entity) throws IOException {
        if (entity == null) {
            return 0;
        }
        long length = 0;
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream content = entity.getContent()) {
            for (int count = content.read(buffer); count >= 0; count = content.read(buffer)) {
                length += count;
            }
        }
        if (entity.getContentLength() >= 0 && length != entity.getContentLength()) {
            throw new IOException("truncated: %d of %d bytes".formatted(length, entity.getContentLength()));
        }
        if (entity.getContentLength() < 0 && !entity.isChunked()) {
            throw new IOException("the response has neither a content length nor chunked encoding");
        }
        return length;
    }

    private static LoadAttempt completeAttempt(ClassicHttpResponse response, long lengthBytes) {
        return new LoadAttempt.Complete(
                response.getCode(),
                header(response, ProxyHeaders.OUTCOME),
                header(response, ProxyHeaders.REASON),
                header(response, ProxyHeaders.RETRY_AFTER_MILLISECONDS).map(Long::valueOf),
                header(response, ProxyHeaders.CONFIGURATION_VERSION).map(Long::valueOf),
                lengthBytes);
    }

    private static Optional<String> header(ClassicHttpResponse response, String name) {
        return Optional.ofNullable(response.getFirstHeader(name)).map(Header::getValue);
    }

    private static BasicClassicHttpRequest requestMessage(Address entry, String path, Optional<String> bookingKey) {
        BasicClassicHttpRequest message = new BasicClassicHttpRequest(bookingKey.isPresent() ? "POST" : "GET", path);
        message.setHeader("Host", entry);
        message.setHeader("Connection", "close");
        if (bookingKey.isPresent()) {
            byte[] body = "{\"booking\":\"%s\"}".formatted(bookingKey.get()).getBytes(StandardCharsets.UTF_8);
            message.setHeader(ProxyHeaders.IDEMPOTENCY_KEY, bookingKey.get());
            message.setHeader("Content-Length", body.length);
            message.setHeader("Content-Type", "application/json");
            message.setEntity(
                    new InputStreamEntity(new ByteArrayInputStream(body), body.length, ContentType.APPLICATION_JSON));
        }
        return message;
    }
}
