package org.oleanderturn.store;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
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
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * Pooled connections to the store.
 *
 * <p>Invariant: a request is marked as written right before its first byte, so that a failure without the mark proves
 * that the store saw nothing. After any failure every idle connection is closed, for the others likely broke too.
 * Thread safe.
 */
public final class StoreHttpClient implements AutoCloseable {
    private static final String REQUEST_STARTED = "oleanderturn.written";
    private static final String USER_AGENT = "oleanderturn";
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private final HttpHost host;
    private final Timeout connectTimeout;
    private final HttpRequester requester;

    private StoreHttpClient(StoreSettings settings, Duration silence) {
        this.host = new HttpHost(
                "http", settings.address().host(), settings.address().port());
        this.connectTimeout = Timeout.of(settings.connectTimeout());
        SocketConfig socketConfiguration = SocketConfig.custom()
                .setSoTimeout(Timeout.of(silence))
                .setTcpNoDelay(true)
                .build();
        this.requester = RequesterBootstrap.bootstrap()
                .setSocketConfig(socketConfiguration)
                // The store is reached without TLS; the default would read all trusted certificates at every start.
                .setSslSocketFactory(DisabledTlsSocketFactory.instance())
                .setHttpProcessor(HttpProcessors.customClient(USER_AGENT)
                        .addLast((HttpRequestInterceptor)
                                (request, entity, context) -> context.setAttribute(REQUEST_STARTED, true))
                        .build())
                .setDefaultMaxPerRoute(settings.maximumConnections())
                .setMaxTotal(settings.maximumConnections())
                .create();
    }

    /** Returns connections that are given up after the given silence; none is open yet. */
    public static StoreHttpClient of(StoreSettings settings, Duration silence) {
        return new StoreHttpClient(settings, silence);
    }

    /**
     * Sends a request and reads its whole answer.
     *
     * @param isRepeatable whether the request is sent once more, on a new connection, when the store closed the first
     *     one without a word, as it does with an idle one
     */
    private Either<StoreFailure, StoreResponse> exchange(ClassicHttpRequest request, boolean isRepeatable) {
        HttpCoreContext context = HttpCoreContext.create();
        try {
            StoreResponse answer =
                    requester.execute(host, request, connectTimeout, context, StoreHttpClient::readWhole);
            return Either.right(answer);
        } catch (NoHttpResponseException cause) {
            requester.closeIdle(TimeValue.ZERO_MILLISECONDS);
            return isRepeatable ? exchange(request, false) : Either.left(failure(context, cause));
        } catch (IOException | HttpException | IllegalStateException cause) {
            requester.closeIdle(TimeValue.ZERO_MILLISECONDS);
            return Either.left(failure(context, cause));
        }
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }

    /** Sends a call and reads its whole answer; a call that only reads is repeatable. */
    public Either<StoreFailure, StoreResponse> call(Method method, String path, Optional<byte[]> body) {
        BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
        body.ifPresent(bytes -> request.setEntity(new ByteArrayEntity(bytes, ContentType.APPLICATION_JSON)));
        return exchange(request, method == Method.GET);
    }

    private static StoreFailure failure(HttpCoreContext context, Exception cause) {
        String reason = cause.getClass().getSimpleName() + ": " + cause.getMessage();
        boolean written = Boolean.TRUE.equals(context.getAttribute(REQUEST_STARTED));
        return written ? new StoreFailure.Undetermined(reason) : new StoreFailure.Unreachable(reason);
    }

    private static StoreResponse readWhole(ClassicHttpResponse response) throws IOException {
        HttpEntity entity = response.getEntity();
        byte[] body = entity == null ? new byte[0] : EntityUtils.toByteArray(entity);
        return new StoreResponse(response.getCode(), retryAfter(response), body);
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
