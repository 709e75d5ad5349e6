package org.oleanderturn.store;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequestInterceptor;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.NoHttpResponseException;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.http.protocol.RequestUserAgent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * Sends HTTP requests to the store over pooled connections.
 *
 * <p>Invariant: a request is marked as started right before its first byte is written, so that a failure without the mark
 * proves that the store received nothing. After any failure every idle connection is closed, as the others are likely
 * broken too. What is kept of a response is bounded, as is the whole time of a call. Thread safe.
 */
public final class StoreHttpClient implements AutoCloseable {
    private static final String REQUEST_STARTED = "oleanderturn.written";
    private static final String USER_AGENT = "oleanderturn";
    /** The idle time before a keep-alive probe and between two, so that a waiting watch notices a silent connection. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    /** Unanswered keep-alive probes after which a connection counts as broken. */
    private static final int KEEP_ALIVE_PROBES = 2;

    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    /** The largest response takes about as long over the slowest link of the users' deployments. */
    private static final Duration MAXIMUM_TRANSFER = Duration.ofSeconds(20);

    private final HttpHost host;
    private final Timeout connectTimeout;
    private final HttpRequester requester;

    private StoreHttpClient(StoreSettings settings, Duration socketTimeout) {
        this.host = new HttpHost(
                "http", settings.address().host(), settings.address().port());
        this.connectTimeout = Timeout.of(settings.connectTimeout());
        SocketConfig socketConfiguration = SocketConfig.custom()
                .setSoTimeout(Timeout.of(socketTimeout))
                .setTcpNoDelay(true)
                .setSoKeepAlive(true)
                .setTcpKeepIdle(KEEP_ALIVE_SECONDS)
                .setTcpKeepInterval(KEEP_ALIVE_SECONDS)
                .setTcpKeepCount(KEEP_ALIVE_PROBES)
                .build();
        this.requester = RequesterBootstrap.bootstrap()
                .setSocketConfig(socketConfiguration)
                // The default factory would load all trusted certificates at every start, and no connection uses TLS.
                .setSslSocketFactory(DisabledTlsSocketFactory.instance())
                .setHttpProcessor(processor())
                .setConnectionFactory(socket -> StoreConnection.of(socket, socketTimeout.plus(MAXIMUM_TRANSFER)))
                .setDefaultMaxPerRoute(settings.maximumConnections())
                .setMaxTotal(settings.maximumConnections())
                .create();
    }

    /**
     * Returns the usual interceptors of a client but for the one that waits for 100 (Continue) before it sends a body: bodies
     * are small, and a store that does not send it would hold up each write for the three seconds of that wait.
     */
    private static HttpProcessor processor() {
        return HttpProcessorBuilder.create()
                .addAll(
                        RequestTargetHost.INSTANCE,
                        RequestContent.INSTANCE,
                        RequestConnControl.INSTANCE,
                        new RequestUserAgent(USER_AGENT))
                .addLast((HttpRequestInterceptor)
                        (request, entity, context) -> context.setAttribute(REQUEST_STARTED, true))
                .build();
    }

    /** Returns a client whose connections time out when no byte arrives for the given time; none is open yet. */
    public static StoreHttpClient of(StoreSettings settings, Duration socketTimeout) {
        return new StoreHttpClient(settings, socketTimeout);
    }

    /**
     * Sends a request and reads the complete response.
     *
     * @param isRetryable whether to send the request once more, on a new connection, when the store closed the first one
     *     without a response, as it does with idle connections
     */
    private Either<StoreFailure, StoreResponse> exchange(
            ClassicHttpRequest request, boolean isRetryable, Runnable onResponse) {
        HttpCoreContext context = HttpCoreContext.create();
        try {
            StoreResponse storeResponse = requester.execute(host, request, connectTimeout, context, response -> {
                onResponse.run();
                return readResponse(response);
            });
            return Either.right(storeResponse);
        } catch (NoHttpResponseException cause) {
            requester.closeIdle(TimeValue.ZERO_MILLISECONDS);
            return isRetryable ? exchange(request, false, onResponse) : Either.left(failure(context, cause));
        } catch (IOException | HttpException | IllegalStateException cause) {
            requester.closeIdle(TimeValue.ZERO_MILLISECONDS);
            return Either.left(failure(context, cause));
        }
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }

    /** Sends a request and reads the complete response; a GET may be sent twice, as it changes nothing. */
    public Either<StoreFailure, StoreResponse> call(Method method, String path, Optional<byte[]> body) {
        return call(method, path, body, () -> {});
    }

    /**
     * Sends a request as {@link #call(Method, String, Optional)} does.
     *
     * @param onResponse is run when the head of the response has arrived
     */
    public Either<StoreFailure, StoreResponse> call(
            Method method, String path, Optional<byte[]> body, Runnable onResponse) {
        BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
        body.ifPresent(bytes -> request.setEntity(new ByteArrayEntity(bytes, ContentType.APPLICATION_JSON)));
        return exchange(request, method == Method.GET, onResponse);
    }

    private static StoreFailure failure(HttpCoreContext context, Exception cause) {
        String reason = cause.getClass().getSimpleName() + ": " + cause.getMessage();
        boolean isStarted = Boolean.TRUE.equals(context.getAttribute(REQUEST_STARTED));
        return isStarted ? new StoreFailure.Undetermined(reason) : new StoreFailure.Unreachable(reason);
    }

    private static StoreResponse readResponse(ClassicHttpResponse response) throws IOException {
        HttpEntity entity = response.getEntity();
        // Not by the stated length, which may be larger than the heap and would be allocated at once.
        byte[] body = entity == null ? new byte[0] : entity.getContent().readAllBytes();
        Map<String, String> headers = new HashMap<>();
        for (Header header : response.getHeaders()) {
            headers.putIfAbsent(header.getName(), header.getValue());
        }
        return new StoreResponse(response.getCode(), retryAfter(response), headers, body);
    }

    private static Duration retryAfter(ClassicHttpResponse response) {
        Header header = response.getFirstHeader(HttpHeaders.RETRY_AFTER);
        if (header == null) {
            return DEFAULT_RETRY_AFTER;
        }
        try {
            return Duration.ofSeconds(Long.parseLong(header.getValue().trim()));
        } catch (NumberFormatException malformed) {
            return DEFAULT_RETRY_AFTER;
        }
    }
}
