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
final class HandlerBridge implements HttpServerRequestHandler {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final RequestHandler handler;
    private final BooleanSupplier isDraining;

    private HandlerBridge(RequestHandler handler, BooleanSupplier isDraining) {
        this.handler = handler;
        this.isDraining = isDraining;
    }

    static HandlerBridge of(RequestHandler handler, BooleanSupplier isDraining) {
        Objects.requireNonNull(handler, "handler is null");
        Objects.requireNonNull(isDraining, "isDraining is null");
        return new HandlerBridge(handler, isDraining);
    }

    @Override
    public void handle(ClassicHttpRequest request, ResponseTrigger trigger, HttpContext context)
            throws HttpException, IOException {
        ServedConnection served = (ServedConnection) context.getAttribute(ServedConnection.ATTRIBUTE);
        served.begin();
        Inbound inbound = new Inbound(request, trigger, served);
        Answer answer = answer(inbound);
        try {
            submit(answer, inbound, trigger, served);
        } finally {
            close(answer);
            served.unwatch();
        }
    }

    private void submit(Answer answer, Inbound inbound, ResponseTrigger trigger, ServedConnection served)
            throws HttpException, IOException {
        if (!AnswerFraming.hasBody(inbound.method(), answer.status())) {
            passOver(answer);
        }
        ClassicHttpResponse response = response(answer, served);
        if (inbound.isBodyLeft()) {
            response.setHeader(HttpHeaders.CONNECTION, "close");
        }
        trigger.submitResponse(response);
    }

    /** Takes the end of an answer without a body, which is never written. */
    private static void passOver(Answer answer) throws IOException {
        if (answer.body() instanceof Answer.Body.Streamed streamed) {
            streamed.source().writeTo(OutputStream.nullOutputStream());
        }
    }

    private static void close(Answer answer) {
        if (answer.body() instanceof Answer.Body.Streamed streamed) {
            streamed.source().close();
        }
    }

    private Answer answer(Inbound inbound) throws IOException {
        try {
            return handler.handle(inbound);
        } catch (RuntimeException defect) {
            log.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(defect).log("request handler failed");
            return Answer.text(HttpStatus.SC_INTERNAL_SERVER_ERROR, "text/plain", "internal error\n")
                    .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.UNKNOWN.text());
        }
    }

    private ClassicHttpResponse response(Answer answer, ServedConnection served) {
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
            response.setEntity(AnswerEntity.of(answer.body(), served));
        }
        return response;
    }

    /** A request of HttpCore's server. */
    private static final class Inbound implements InboundRequest {
        private final ClassicHttpRequest request;
        private final ResponseTrigger trigger;
        private final ServedConnection served;
        private final List<HeaderField> headers;
        private boolean isWaiting;
        private boolean isRead;

        Inbound(ClassicHttpRequest request, ResponseTrigger trigger, ServedConnection served) {
            this.request = request;
            this.trigger = trigger;
            this.served = served;
            this.headers = HeaderValues.all(request);
            Header expectation = request.getFirstHeader(HttpHeaders.EXPECT);
            this.isWaiting = expectation != null && expectation.getValue().equalsIgnoreCase("100-continue");
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
            goAhead();
            InputStream input = entity.getContent();
            byte[] bytes = input.readNBytes(limitBytes + 1);
            isRead = bytes.length <= limitBytes;
            return isRead ? Optional.of(bytes) : Optional.empty();
        }

        @Override
        public Optional<byte[]> readBody(int limitBytes, Duration longest) throws IOException {
            served.limitReads(longest);
            Optional<byte[]> body = readBody(limitBytes);
            served.unlimitReads();
            return body;
        }

        @Override
        public void onPeerGone(Runnable action) throws IOException {
            if (!isBodyLeft()) {
                served.watch(action);
            }
        }

        /** Returns whether the peer may still be sending a body, so that the connection can't serve another request. */
        boolean isBodyLeft() {
            return request.getEntity() != null && !isRead;
        }

        private void goAhead() throws IOException {
            if (!isWaiting) {
                return;
            }
            isWaiting = false;
            try {
                trigger.sendInformation(new BasicClassicHttpResponse(HttpStatus.SC_CONTINUE));
            } catch (HttpException cause) {
                throw new IOException("the go-ahead could not be sent", cause);
            }
        }
    }
}
