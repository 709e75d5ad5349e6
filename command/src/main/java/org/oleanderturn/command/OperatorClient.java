package org.oleanderturn.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.net.URIAuthority;
import org.oleanderturn.http.ResponseConnection;
import org.oleanderturn.model.Address;

/**
 * An HTTP client for the operator interface of nodes; each request uses its own connection.
 *
 * <p>Invariant: {@link CommandFailure.NotConnected} is returned only when no byte was sent. Connecting and the rest of the
 * exchange are each limited by the timeout, however slowly the bytes of the response arrive. Immutable and thread safe.
 */
public final class OperatorClient {
    private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;
    private static final int LOWEST_ERROR_STATUS = 400;
    private static final HttpProcessor PROCESSOR = HttpProcessors.client("oleanderturn");

    private final int timeoutMilliseconds;

    private OperatorClient(int timeoutMilliseconds) {
        this.timeoutMilliseconds = timeoutMilliseconds;
    }

    /** Returns a client with the given time limit for connecting to a node, and separately for a complete response. */
    public static OperatorClient of(int timeoutMilliseconds) {
        return new OperatorClient(timeoutMilliseconds);
    }

    /** Returns the body of a node's response to a GET request; any status from 400 on is a failure. */
    public Either<CommandFailure, byte[]> get(Address node, String path) {
        Objects.requireNonNull(node, "node is null");
        return exchange(node, ClassicRequestBuilder.get(path).build());
    }

    /** Returns the body of a node's response to a POST request with a JSON body; any status from 400 on is a failure. */
    public Either<CommandFailure, byte[]> post(Address node, String path, byte[] body) {
        Objects.requireNonNull(node, "node is null");
        ByteArrayEntity entity = new ByteArrayEntity(body, ContentType.APPLICATION_JSON);
        return exchange(node, ClassicRequestBuilder.post(path).setEntity(entity).build());
    }

    private Either<CommandFailure, byte[]> exchange(Address node, ClassicHttpRequest request) {
        request.setAuthority(new URIAuthority(node.host(), node.port()));
        request.setHeader(HttpHeaders.CONNECTION, "close");
        try (Socket socket = new Socket()) {
            try {
                socket.connect(new InetSocketAddress(node.host(), node.port()), timeoutMilliseconds);
            } catch (IOException | RuntimeException cause) {
                return Either.left(new CommandFailure.NotConnected(node, reasonOf(cause)));
            }
            return exchangeWithDeadline(node, request, socket);
        } catch (IOException | HttpException | RuntimeException cause) {
            return Either.left(new CommandFailure.AnswerLost(node, reasonOf(cause)));
        }
    }

    private Either<CommandFailure, byte[]> exchangeWithDeadline(Address node, ClassicHttpRequest request, Socket socket)
            throws IOException, HttpException {
        Executor deadlineExecutor = CompletableFuture.delayedExecutor(timeoutMilliseconds, TimeUnit.MILLISECONDS);
        AtomicBoolean isExpired = new AtomicBoolean();
        CompletableFuture<Void> deadlineTask =
                CompletableFuture.runAsync(() -> expire(isExpired, socket), deadlineExecutor);
        try (ResponseConnection connection = new ResponseConnection(Http1Config.DEFAULT)) {
            connection.bind(socket);
            HttpRequestExecutor executor = new HttpRequestExecutor();
            HttpCoreContext context = HttpCoreContext.create();
            executor.preProcess(request, PROCESSOR, context);
            try (ClassicHttpResponse response = executor.execute(request, connection, context)) {
                return readResponse(node, response);
            }
        } catch (IOException cause) {
            String reason =
                    isExpired.get() ? "no complete response within " + timeoutMilliseconds + " ms" : reasonOf(cause);
            return Either.left(new CommandFailure.AnswerLost(node, reason));
        } finally {
            deadlineTask.cancel(false);
        }
    }

    private static Either<CommandFailure, byte[]> readResponse(Address node, ClassicHttpResponse response)
            throws IOException {
        byte[] body = response.getEntity() == null
                ? new byte[0]
                : EntityUtils.toByteArray(response.getEntity(), MAXIMUM_RESPONSE_BYTES);
        if (response.getCode() < LOWEST_ERROR_STATUS) {
            return Either.right(body);
        }
        Optional<String> retryAfter = Optional.ofNullable(response.getFirstHeader(HttpHeaders.RETRY_AFTER))
                .map(Header::getValue);
        String text = new String(body, StandardCharsets.UTF_8);
        return Either.left(new CommandFailure.Rejected(node, response.getCode(), retryAfter, text));
    }

    private static void expire(AtomicBoolean isExpired, Socket socket) {
        isExpired.set(true);
        try {
            socket.close();
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    private static String reasonOf(Exception cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }
}
