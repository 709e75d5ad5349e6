package org.oleanderturn.proxy;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Lets a {@link RequestHandler} answer the requests of HttpCore's server.
 *
 * <p>Invariant: each request gets exactly one answer or its connection is cut. Thread safe.
 */
final class RequestHandlerAdapter implements HttpServerRequestHandler {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final RequestHandler handler;
    private final BooleanSupplier isDraining;

    private RequestHandlerAdapter(RequestHandler handler, BooleanSupplier isDraining) {
        this.handler = handler;
        this.isDraining = isDraining;
    }

    static RequestHandlerAdapter of(RequestHandler handler, BooleanSupplier isDraining) {
        Objects.requireNonNull(handler, "handler is null");
        Objects.requireNonNull(isDraining, "isDraining is null");
        return new RequestHandlerAdapter(handler, isDraining);
    }

    @Override
    public void handle(ClassicHttpRequest request, ResponseTrigger trigger, HttpContext context)
            throws HttpException, IOException {
        ServerConnection served = (ServerConnection) context.getAttribute(ServerConnection.ATTRIBUTE);
        served.beginRequest();
        HttpCoreRequest inbound = new HttpCoreRequest(request, trigger, served);
        Response answer = callHandler(inbound);
        try {
            submit(answer, inbound, trigger, served);
        } finally {
            close(answer);
            served.unwatch();
        }
    }

    private void submit(Response answer, HttpCoreRequest inbound, ResponseTrigger trigger, ServerConnection served)
            throws HttpException, IOException {
        if (!ResponseFraming.hasBody(inbound.method(), answer.status())) {
            discardBody(answer);
        }
        ClassicHttpResponse response = toHttpCore(answer, served);
        if (inbound.isBodyUnread()) {
            response.setHeader(HttpHeaders.CONNECTION, "close");
        }
        trigger.submitResponse(response);
    }

    /** Takes the end of an answer without a body, which is never written. */
    private static void discardBody(Response answer) throws IOException {
        if (answer.body() instanceof Response.Body.Streamed streamed) {
            streamed.source().writeTo(OutputStream.nullOutputStream());
        }
    }

    private static void close(Response answer) {
        if (answer.body() instanceof Response.Body.Streamed streamed) {
            streamed.source().close();
        }
    }

    private Response callHandler(HttpCoreRequest inbound) throws IOException {
        try {
            return handler.handle(inbound);
        } catch (RuntimeException defect) {
            log.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(defect).log("request handler failed");
            return Response.text(HttpStatus.SC_INTERNAL_SERVER_ERROR, "text/plain", "internal error\n")
                    .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.UNKNOWN.text());
        }
    }

    private ClassicHttpResponse toHttpCore(Response answer, ServerConnection served) {
        ClassicHttpResponse response = new BasicClassicHttpResponse(answer.status());
        for (HeaderField header : answer.headers()) {
            response.addHeader(header.name(), header.value());
        }
        if (isDraining.getAsBoolean()) {
            response.setHeader(HttpHeaders.CONNECTION, "close");
        }
        boolean isBodyAllowed =
                answer.status() != HttpStatus.SC_NO_CONTENT && answer.status() != HttpStatus.SC_NOT_MODIFIED;
        if (isBodyAllowed) {
            response.setEntity(ResponseEntity.of(answer.body(), served));
        }
        return response;
    }

    /** A request of HttpCore's server. */
    private static final class HttpCoreRequest implements InboundRequest {
        private final ClassicHttpRequest request;
        private final ResponseTrigger trigger;
        private final ServerConnection served;
        private final List<HeaderField> headers;
        private boolean isContinuePending;
        private boolean isRead;

        HttpCoreRequest(ClassicHttpRequest request, ResponseTrigger trigger, ServerConnection served) {
            this.request = request;
            this.trigger = trigger;
            this.served = served;
            this.headers = HeaderValues.fromMessage(request);
            Header expectation = request.getFirstHeader(HttpHeaders.EXPECT);
            this.isContinuePending =
                    expectation != null && expectation.getValue().equalsIgnoreCase("100-continue");
        }

        @Override
        public String method() {
            return request.getMethod();
        }

        @Override
        public String path() {
            return request.getPath();
        }

        @Override
        public List<HeaderField> headers() {
            return headers;
        }

        @Override
        public Optional<byte[]> readBody(int limitBytes) throws IOException {
            HttpEntity entity = request.getEntity();
            if (entity == null) {
                return Optional.of(new byte[0]);
            }
            if (entity.getContentLength() > limitBytes) {
                return Optional.empty();
            }
            sendContinue();
            InputStream input = entity.getContent();
            byte[] bytes = input.readNBytes(limitBytes + 1);
            isRead = bytes.length <= limitBytes;
            return isRead ? Optional.of(bytes) : Optional.empty();
        }

        @Override
        public Optional<byte[]> readBody(int limitBytes, Duration longest) throws IOException {
            served.shortenReadTimeout(longest);
            Optional<byte[]> body = readBody(limitBytes);
            served.restoreReadTimeout();
            return body;
        }

        @Override
        public void onPeerDisconnect(Runnable action) throws IOException {
            if (!isBodyUnread()) {
                served.watch(action);
            }
        }

        /** Returns whether the peer may still be sending a body, so that the connection can't serve another request. */
        boolean isBodyUnread() {
            return request.getEntity() != null && !isRead;
        }

        private void sendContinue() throws IOException {
            if (!isContinuePending) {
                return;
            }
            isContinuePending = false;
            try {
                trigger.sendInformation(new BasicClassicHttpResponse(HttpStatus.SC_CONTINUE));
            } catch (HttpException cause) {
                throw new IOException("the go-ahead could not be sent", cause);
            }
        }
    }
}
