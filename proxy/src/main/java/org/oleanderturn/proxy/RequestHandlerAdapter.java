package org.oleanderturn.proxy;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Adapts a {@link RequestHandler} to HttpCore's server interface.
 *
 * <p>Invariant: each request gets exactly one response, or its connection is closed. Thread safe.
 */
final class RequestHandlerAdapter implements HttpServerRequestHandler {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final RequestHandler handler;
    private final BooleanSupplier isDraining;
    private final Supplier<Duration> readDelay;
    private final Supplier<BodyReservation> reservations;

    private RequestHandlerAdapter(
            RequestHandler handler,
            BooleanSupplier isDraining,
            Supplier<Duration> readDelay,
            Supplier<BodyReservation> reservations) {
        this.handler = handler;
        this.isDraining = isDraining;
        this.readDelay = readDelay;
        this.reservations = reservations;
    }

    /** Returns an adapter; {@code readDelay} estimates how long what is read now has waited. */
    static RequestHandlerAdapter of(
            RequestHandler handler,
            BooleanSupplier isDraining,
            Supplier<Duration> readDelay,
            Supplier<BodyReservation> reservations) {
        Objects.requireNonNull(handler, "handler is null");
        Objects.requireNonNull(isDraining, "isDraining is null");
        Objects.requireNonNull(readDelay, "readDelay is null");
        Objects.requireNonNull(reservations, "reservations is null");
        return new RequestHandlerAdapter(handler, isDraining, readDelay, reservations);
    }

    @Override
    public void handle(ClassicHttpRequest request, ResponseTrigger trigger, HttpContext context)
            throws HttpException, IOException {
        ServerExchange exchange = (ServerExchange) context.getAttribute(ServerExchange.ATTRIBUTE);
        exchange.begin();
        ServerConnection serverConnection = exchange.serverConnection();
        Duration coreDelay = readDelay.get();
        try (BodyReservation reservation = reservations.get()) {
            respond(
                    new HttpCoreRequest(
                            request,
                            trigger,
                            serverConnection,
                            reservation,
                            coreDelay,
                            coreDelay.plus(exchange.waited())),
                    trigger,
                    serverConnection);
        }
    }

    private void respond(HttpCoreRequest inboundRequest, ResponseTrigger trigger, ServerConnection serverConnection)
            throws HttpException, IOException {
        Response response = callHandler(inboundRequest);
        if (!(response.body() instanceof Response.Body.Streamed)) {
            serverConnection.unwatch(inboundRequest);
        }
        try {
            submit(response, inboundRequest, trigger, serverConnection);
        } finally {
            close(response);
            serverConnection.unwatch(inboundRequest);
        }
    }

    private void submit(
            Response response,
            HttpCoreRequest inboundRequest,
            ResponseTrigger trigger,
            ServerConnection serverConnection)
            throws HttpException, IOException {
        if (!ResponseFraming.hasBody(inboundRequest.method(), response.status())) {
            discardBody(response);
        }
        ClassicHttpResponse message = toHttpCore(response, serverConnection);
        if (inboundRequest.isBodyUnread()) {
            message.setHeader(HttpHeaders.CONNECTION, "close");
            inboundRequest.detachBody();
            serverConnection.markInputUnread();
        }
        trigger.submitResponse(message);
    }

    /** Runs the source of a response without a body, which HttpCore never writes, so that the source can finish. */
    private static void discardBody(Response response) throws IOException {
        if (response.body() instanceof Response.Body.Streamed streamed) {
            streamed.source().writeTo(OutputStream.nullOutputStream());
        }
    }

    private static void close(Response response) {
        if (response.body() instanceof Response.Body.Streamed streamed) {
            streamed.source().close();
        }
    }

    private Response callHandler(HttpCoreRequest inboundRequest) throws IOException {
        try {
            return handler.handle(inboundRequest);
        } catch (RuntimeException defect) {
            log.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(defect).log("request handler failed");
            return Response.text(HttpStatus.SC_INTERNAL_SERVER_ERROR, "text/plain", "internal error\n")
                    .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.UNKNOWN.text());
        }
    }

    private ClassicHttpResponse toHttpCore(Response response, ServerConnection serverConnection) {
        ClassicHttpResponse message = new BasicClassicHttpResponse(response.status());
        for (HeaderField header : response.headers()) {
            message.addHeader(header.name(), header.value());
        }
        if (isDraining.getAsBoolean()) {
            message.setHeader(HttpHeaders.CONNECTION, "close");
        }
        boolean isBodyAllowed =
                response.status() != HttpStatus.SC_NO_CONTENT && response.status() != HttpStatus.SC_NOT_MODIFIED;
        if (isBodyAllowed) {
            message.setEntity(ResponseEntity.of(response.body(), serverConnection));
        }
        return message;
    }

    /** A request that HttpCore's server received. */
    private static final class HttpCoreRequest implements InboundRequest {
        private static final int DISCARD_BUFFER_BYTES = 8_192;

        /** A longer body that is refused is not read to its end; its connection is closed. */
        private static final int DISCARD_LIMIT_BYTES = 1_000_000;

        private final ClassicHttpRequest request;
        private final ResponseTrigger trigger;
        private final ServerConnection serverConnection;
        private final BodyReservation reservation;
        private final List<HeaderField> headers;
        private final Duration coreDelay;
        private final Duration readDelay;
        private boolean isContinuePending;
        private boolean isBodyRead;

        HttpCoreRequest(
                ClassicHttpRequest request,
                ResponseTrigger trigger,
                ServerConnection serverConnection,
                BodyReservation reservation,
                Duration coreDelay,
                Duration readDelay) {
            this.request = request;
            this.coreDelay = coreDelay;
            this.readDelay = readDelay;
            this.trigger = trigger;
            this.serverConnection = serverConnection;
            this.reservation = reservation;
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
            requireWhole(entity);
            isBodyRead = bytes.length <= limitBytes;
            return isBodyRead ? Optional.of(bytes) : Optional.empty();
        }

        @Override
        public Either<UpstreamFailure.Limit, byte[]> readReservedBody(int limitBytes) throws IOException {
            HttpEntity entity = request.getEntity();
            if (entity == null) {
                return Either.right(new byte[0]);
            }
            sendContinue();
            InputStream input = entity.getContent();
            try {
                byte[] body = BodyReader.read(input, entity.getContentLength(), limitBytes, reservation);
                requireWhole(entity);
                isBodyRead = true;
                return Either.right(body);
            } catch (ResponseLimitException exceeded) {
                // A body that is not read would reset the connection, and the client might never see the answer.
                isBodyRead = discard(input);
                return Either.left(exceeded.limit());
            }
        }

        private static boolean discard(InputStream input) throws IOException {
            byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
            int discarded = 0;
            int count = input.read(buffer);
            while (count >= 0 && discarded < DISCARD_LIMIT_BYTES) {
                discarded += count;
                count = input.read(buffer);
            }
            return count < 0;
        }

        private void requireWhole(HttpEntity entity) throws ConnectionClosedException {
            if (entity.isChunked() && serverConnection.hasReadEnd()) {
                throw new ConnectionClosedException("the connection ended within a chunked body");
            }
        }

        @Override
        public Optional<byte[]> readBody(int limitBytes, Duration timeout) throws IOException {
            serverConnection.shortenReadTimeout(timeout);
            Optional<byte[]> body = readBody(limitBytes);
            serverConnection.restoreReadTimeout();
            return body;
        }

        @Override
        public BodyReservation bodyReservation() {
            return reservation;
        }

        @Override
        public Duration readDelay() {
            return readDelay;
        }

        @Override
        public Duration coreDelay() {
            return coreDelay;
        }

        @Override
        public boolean isFromOwnHost() {
            return serverConnection.isFromOwnHost();
        }

        @Override
        public boolean hasPeerLeft() {
            return !isBodyUnread() && serverConnection.hasPeerLeft();
        }

        @Override
        public void onPeerDisconnect(Runnable action) throws IOException {
            if (!isBodyUnread()) {
                serverConnection.watch(this, action);
            }
        }

        /**
         * Returns whether part of the body may still arrive, so that the connection cannot be reused for another
         * request.
         */
        boolean isBodyUnread() {
            return request.getEntity() != null && !isBodyRead;
        }

        /** Keeps HttpCore from reading the rest of the body, however long it is, before it ends the response. */
        void detachBody() {
            request.setEntity(null);
        }

        private void sendContinue() throws IOException {
            if (!isContinuePending) {
                return;
            }
            isContinuePending = false;
            try {
                trigger.sendInformation(new BasicClassicHttpResponse(HttpStatus.SC_CONTINUE));
            } catch (HttpException cause) {
                throw new IOException("100 (Continue) could not be sent", cause);
            }
        }
    }
}
