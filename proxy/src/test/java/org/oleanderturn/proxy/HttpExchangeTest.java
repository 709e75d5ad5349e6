package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.Address;

/** Tests the listener and the client against each other and against misbehaving peers. */
@Timeout(60)
class HttpExchangeTest {
    private static final int LIMIT_BYTES = 1_000_000;
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);

    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final UpstreamClient client = UpstreamClient.of(10);

    @AfterEach
    void closeAll() throws Exception {
        client.close();
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        executor.shutdownNow();
    }

    @Test
    void shouldTransferBodiesInBothDirectionsWhenNothingFails() throws IOException {
        Address server = startServer(request -> {
            byte[] body = request.readBody(LIMIT_BYTES).orElseThrow();
            return Response.of(
                    200, List.of(HeaderField.of("Seen", request.method())), new Response.Body.Buffered(body));
        });
        for (int round = 0; round < 3; round++) {
            UpstreamResponse response =
                    send(server, "POST", "hello", SendPolicy.POOLED).get();
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.header("seen")).isEqualTo(Optional.of("POST"));
            assertThat(text(response)).isEqualTo("hello");
            response.close();
        }
    }

    @Test
    void shouldNotSendTheBodyWhenThePeerRespondsWithoutContinue() throws IOException {
        Address server = startServer(_ -> Response.text(503, "text/plain", "draining"));
        UpstreamResponse response =
                send(server, "POST", "booking", SendPolicy.EXPECT_CONTINUE).get();

        assertThat(response.status()).isEqualTo(503);
        response.close();
    }

    @Test
    void shouldSendTheBodyWhenThePeerSendsContinue() throws IOException {
        AtomicInteger runs = new AtomicInteger();
        Address server = startServer(request -> {
            byte[] body = request.readBody(LIMIT_BYTES).orElseThrow();
            runs.incrementAndGet();
            return Response.of(200, List.of(), new Response.Body.Buffered(body));
        });
        UpstreamResponse response =
                send(server, "POST", "booking", SendPolicy.EXPECT_CONTINUE).get();

        assertThat(text(response)).isEqualTo("booking");
        assertThat(runs.get()).isEqualTo(1);
        response.close();
    }

    @Test
    void shouldNotRunAnEmptyBookingWhenContinueIsLost() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        AtomicInteger runs = new AtomicInteger();
        Address server = startServer(request -> {
            try {
                var _ = request.readBody(LIMIT_BYTES, SHORT_TIMEOUT).orElseThrow();
                runs.incrementAndGet();
            } finally {
                ended.countDown();
            }
            return Response.text(200, "text/plain", "");
        });
        FaultRelay relay = new FaultRelay(
                server,
                executor,
                step -> step == FaultRelay.Step.CONTINUE ? FaultRelay.FaultAction.HOLD : FaultRelay.FaultAction.PASS);
        closeables.add(relay);
        OutboundRequest booking = new OutboundRequest(
                "POST", "/", List.of(), new byte[0], SendPolicy.EXPECT_CONTINUE, SHORT_TIMEOUT, SHORT_TIMEOUT);
        Either<UpstreamFailure, UpstreamResponse> response =
                client.send(relay.address(), booking, Cancellation.create());
        await(ended);

        assertThat(response.getLeft()).isInstanceOf(UpstreamFailure.NotSent.class);
        assertThat(runs.get()).isEqualTo(0);
    }

    @Test
    void shouldNotAcceptAStaleResponseWhenThePeerSentTwoResponses() throws IOException {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        Address server = startScriptedServer(response + response.replace("first", "stale"));
        UpstreamResponse first = send(server, "GET", "", SendPolicy.POOLED).get();
        assertThat(text(first)).isEqualTo("first");
        first.close();
        Either<UpstreamFailure, UpstreamResponse> second = client.send(
                server,
                new OutboundRequest(
                        "GET", "/", List.of(), new byte[0], SendPolicy.POOLED, SHORT_TIMEOUT, SHORT_TIMEOUT),
                Cancellation.create());

        assertThat(second.isLeft()).isTrue();
    }

    @Test
    void shouldKeepTheConnectionWhenAFinishedRequestIsCancelledLate() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        AtomicInteger count = new AtomicInteger();
        Address server = startServer(_ -> {
            if (count.incrementAndGet() == 2) {
                started.countDown();
                await(release);
            }
            return Response.text(200, "text/plain", "whole");
        });
        Cancellation late = Cancellation.create();
        UpstreamResponse first =
                client.send(server, request("GET", "", SendPolicy.POOLED), late).get();
        assertThat(text(first)).isEqualTo("whole");
        first.close();
        Future<Either<UpstreamFailure, UpstreamResponse>> second =
                executor.submit(() -> send(server, "GET", "", SendPolicy.POOLED));
        await(started);
        late.cancel();
        release.countDown();

        assertThat(text(second.get().get())).isEqualTo("whole");
    }

    @Test
    void shouldRunAndCloseTheSourceWhenTheResponseHasNoBody() throws IOException {
        for (int status : new int[] {204, 304}) {
            CountDownLatch written = new CountDownLatch(1);
            CountDownLatch closed = new CountDownLatch(1);
            Address server = startServer(_ ->
                    Response.of(status, List.of(), new Response.Body.Streamed(0, new CountedSource(written, closed))));
            UpstreamResponse response =
                    send(server, "GET", "", SendPolicy.POOLED).get();
            assertThat(response.status()).isEqualTo(status);
            response.close();
            await(written);
            await(closed);
        }
    }

    @Test
    void shouldKeepTheContentLengthWhenTheMethodIsHead() throws IOException {
        Address server = startServer(_ -> Response.text(200, "text/plain", "five."));
        UpstreamResponse response = send(server, "HEAD", "", SendPolicy.POOLED).get();

        assertThat(response.length()).isEqualTo(5);
        assertThat(text(response)).isEmpty();
        response.close();
    }

    @Test
    void shouldReportNotSentWhenThePeerDisconnectsBeforeContinue() throws IOException {
        Address server = startScriptedServer("");
        Either<UpstreamFailure, UpstreamResponse> response =
                send(server, "POST", "booking", SendPolicy.EXPECT_CONTINUE);

        assertThat(response.getLeft()).isInstanceOf(UpstreamFailure.NotSent.class);
    }

    @Test
    void shouldReportResponseLostWhenThePeerDisconnectsAfterContinue() throws IOException {
        Address server = startScriptedServer("HTTP/1.1 100 Continue\r\n\r\n");
        Either<UpstreamFailure, UpstreamResponse> response =
                send(server, "POST", "booking", SendPolicy.EXPECT_CONTINUE);

        assertThat(response.getLeft()).isInstanceOf(UpstreamFailure.ResponseLost.class);
    }

    @Test
    void shouldReportResponseLostWhenTheBodyIsCloseDelimited() throws IOException {
        Address server = startScriptedServer("HTTP/1.1 200 OK\r\n\r\npart of");
        Either<UpstreamFailure, UpstreamResponse> response = send(server, "GET", "", SendPolicy.POOLED);

        assertThat(response.getLeft()).isInstanceOf(UpstreamFailure.ResponseLost.class);
    }

    @Test
    void shouldFailWhenTheResponseIsTruncated() throws IOException {
        Address server = startScriptedServer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart of");
        UpstreamResponse response = send(server, "GET", "", SendPolicy.POOLED).get();

        assertThrows(IOException.class, () -> response.writeTo(new ByteArrayOutputStream()));
        response.close();
    }

    @Test
    void shouldNotCompleteTheResponseWhenItsSourceFails() throws IOException {
        Address server = startServer(_ ->
                Response.of(200, List.of(), new Response.Body.Streamed(Response.UNKNOWN_LENGTH, new FailingSource())));
        UpstreamResponse response = send(server, "GET", "", SendPolicy.POOLED).get();

        assertThrows(IOException.class, () -> response.readBody(LIMIT_BYTES));
        response.close();
    }

    @Test
    void shouldOpenANewConnectionWhenTheSendPolicyRequiresOne() throws IOException {
        HttpListener listener = startListener(_ -> Response.text(200, "text/plain", "first"));
        assertThat(text(send(listener.address(), "GET", "", SendPolicy.POOLED).get()))
                .isEqualTo("first");
        listener.close();
        Either<UpstreamFailure, UpstreamResponse> response =
                send(listener.address(), "POST", "booking", SendPolicy.NEW_CONNECTION);

        assertThat(response.getLeft()).isInstanceOf(UpstreamFailure.NotSent.class);
    }

    @Test
    void shouldNotifyTheHandlerWhenThePeerDisconnects() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch disconnected = new CountDownLatch(1);
        Address server = startServer(request -> {
            request.onPeerDisconnect(disconnected::countDown);
            started.countDown();
            await(disconnected);
            return Response.text(200, "text/plain", "");
        });
        Cancellation cancellation = Cancellation.create();
        Future<Either<UpstreamFailure, UpstreamResponse>> response =
                executor.submit(() -> client.send(server, request("GET", "", SendPolicy.POOLED), cancellation));
        await(started);
        cancellation.cancel();

        assertThat(response.get().getLeft()).isInstanceOf(UpstreamFailure.Cancelled.class);
        assertThat(disconnected.await(30, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void shouldFinishRequestsInFlightWhenDrained() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        HttpListener listener = startListener(_ -> {
            started.countDown();
            await(release);
            return Response.text(200, "text/plain", "whole");
        });
        Future<Either<UpstreamFailure, UpstreamResponse>> response = executor.submit(
                () -> client.send(listener.address(), request("GET", "", SendPolicy.POOLED), Cancellation.create()));
        await(started);
        Future<Boolean> drained = executor.submit(() -> listener.drain(Duration.ofSeconds(30)));
        release.countDown();

        assertThat(text(response.get().get())).isEqualTo("whole");
        assertThat(drained.get()).isTrue();
        try (UpstreamClient other = UpstreamClient.of(1)) {
            Either<UpstreamFailure, UpstreamResponse> refused =
                    other.send(listener.address(), request("GET", "", SendPolicy.POOLED), Cancellation.create());
            assertThat(refused.getLeft()).isInstanceOf(UpstreamFailure.NotSent.class);
        }
    }

    @Test
    void shouldServeOtherConnectionsWhenOnePeerSendsGarbage() throws IOException {
        Address server = startServer(_ -> Response.text(200, "text/plain", "well"));
        try (Socket socket = new Socket(server.host(), server.port())) {
            socket.getOutputStream().write("\u0000\u0001 garbage\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            assertThat(socket.getInputStream().read()).isNotEqualTo(0);
        }
        assertThat(text(send(server, "GET", "", SendPolicy.POOLED).get())).isEqualTo("well");
    }

    @Test
    void shouldRejectARequestWhenItHasMoreHeadersThanTheListenerAllows() throws IOException {
        AtomicInteger runs = new AtomicInteger();
        Address server = startServer(_ -> {
            runs.incrementAndGet();
            return Response.text(200, "text/plain", "");
        });
        String headers = "Name: value\r\n".repeat(ListenerLimits.defaults().maximumHeaders() + 1);
        try (Socket socket = new Socket(server.host(), server.port())) {
            socket.getOutputStream()
                    .write(("GET / HTTP/1.1\r\nHost: host.example\r\n" + headers + "\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 4".length());

            assertThat(new String(start, StandardCharsets.UTF_8)).isEqualTo("HTTP/1.1 4");
            assertThat(runs.get()).isEqualTo(0);
        }
    }

    // -- helpers

    private Either<UpstreamFailure, UpstreamResponse> send(
            Address peer, String method, String body, SendPolicy sendPolicy) {
        return client.send(peer, request(method, body, sendPolicy), Cancellation.create());
    }

    private static OutboundRequest request(String method, String body, SendPolicy sendPolicy) {
        return new OutboundRequest(
                method,
                "/path",
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                sendPolicy,
                Duration.ofSeconds(10),
                Duration.ofSeconds(30));
    }

    private static String text(UpstreamResponse response) throws IOException {
        return new String(response.readBody(LIMIT_BYTES).orElseThrow(), StandardCharsets.UTF_8);
    }

    private Address startServer(RequestHandler handler) {
        return startListener(handler).address();
    }

    private HttpListener startListener(RequestHandler handler) {
        HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults())
                .get();
        closeables.add(listener);
        return listener;
    }

    /** Starts a server that accepts one connection, reads the start of a request, writes the given text and closes. */
    private Address startScriptedServer(String text) throws IOException {
        ServerSocket server = new ServerSocket(0);
        closeables.add(server);
        Future<Void> _ = executor.submit(() -> {
            try (Socket socket = server.accept()) {
                int first = socket.getInputStream().read();
                assertThat(first).isAtLeast(0);
                while (socket.getInputStream().available() > 0) {
                    socket.getInputStream().read();
                }
                socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                socket.getOutputStream().flush();
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            }
            return null;
        });
        return Address.of("127.0.0.1", server.getLocalPort());
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(30, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException interrupt) {
            throw new AssertionError(interrupt);
        }
    }

    /** Counts down the latches when it is written and closed. */
    private record CountedSource(CountDownLatch written, CountDownLatch closed) implements Response.BodySource {
        @Override
        public void writeTo(OutputStream output) {
            written.countDown();
        }

        @Override
        public void close() {
            closed.countDown();
        }
    }

    /** Writes part of a body and then fails. */
    private static final class FailingSource implements Response.BodySource {
        @Override
        public void writeTo(OutputStream output) throws IOException {
            output.write("part of".getBytes(StandardCharsets.UTF_8));
            output.flush();
            throw new IOException("the source failed");
        }

        @Override
        public void close() {}
    }
}
