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

/** The listener and the client against each other and against broken peers. */
@Timeout(60)
class HttpExchangeTest {
    private static final int LIMIT_BYTES = 1_000_000;
    private static final Duration SHORT = Duration.ofMillis(100);

    private final List<AutoCloseable> open = new ArrayList<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final UpstreamClient client = UpstreamClient.of(10);

    @AfterEach
    void closeAll() throws Exception {
        client.close();
        for (AutoCloseable closeable : open) {
            closeable.close();
        }
        executor.shutdownNow();
    }

    @Test
    void shouldCarryBodiesBothWaysWhenAllIsWell() throws IOException {
        Address server = listen(request -> {
            byte[] body = request.readBody(LIMIT_BYTES).orElseThrow();
            return Response.of(
                    200, List.of(HeaderField.of("Seen", request.method())), new Response.Body.Buffered(body));
        });
        for (int round = 0; round < 3; round++) {
            UpstreamResponse answer =
                    send(server, "POST", "hello", SendPolicy.POOLED).get();
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.header("seen")).isEqualTo(Optional.of("POST"));
            assertThat(text(answer)).isEqualTo("hello");
            answer.close();
        }
    }

    @Test
    void shouldNotSendTheBodyWhenTheGoAheadIsRefused() throws IOException {
        Address server = listen(_ -> Response.text(503, "text/plain", "draining"));
        UpstreamResponse answer =
                send(server, "POST", "booking", SendPolicy.EXPECT_CONTINUE).get();

        assertThat(answer.status()).isEqualTo(503);
        answer.close();
    }

    @Test
    void shouldSendTheBodyWhenTheGoAheadIsGiven() throws IOException {
        AtomicInteger ran = new AtomicInteger();
        Address server = listen(request -> {
            byte[] body = request.readBody(LIMIT_BYTES).orElseThrow();
            ran.incrementAndGet();
            return Response.of(200, List.of(), new Response.Body.Buffered(body));
        });
        UpstreamResponse answer =
                send(server, "POST", "booking", SendPolicy.EXPECT_CONTINUE).get();

        assertThat(text(answer)).isEqualTo("booking");
        assertThat(ran.get()).isEqualTo(1);
        answer.close();
    }

    @Test
    void shouldNotRunAnEmptyBookingWhenTheGoAheadIsLost() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        AtomicInteger ran = new AtomicInteger();
        Address server = listen(request -> {
            try {
                var _ = request.readBody(LIMIT_BYTES, SHORT).orElseThrow();
                ran.incrementAndGet();
            } finally {
                ended.countDown();
            }
            return Response.text(200, "text/plain", "");
        });
        FaultRelay relay = new FaultRelay(
                server,
                executor,
                step -> step == FaultRelay.Step.GO_AHEAD ? FaultRelay.Verdict.HOLD : FaultRelay.Verdict.PASS);
        open.add(relay);
        OutboundRequest booking =
                new OutboundRequest("POST", "/", List.of(), new byte[0], SendPolicy.EXPECT_CONTINUE, SHORT, SHORT);
        Either<UpstreamFailure, UpstreamResponse> answer = client.send(relay.address(), booking, Cancellation.create());
        await(ended);

        assertThat(answer.getLeft()).isInstanceOf(UpstreamFailure.NotSent.class);
        assertThat(ran.get()).isEqualTo(0);
    }

    @Test
    void shouldNotTakeAnotherAnswerWhenThePeerSentOneTwice() throws IOException {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        Address server = scripted(answer + answer.replace("first", "stale"));
        UpstreamResponse first = send(server, "GET", "", SendPolicy.POOLED).get();
        assertThat(text(first)).isEqualTo("first");
        first.close();
        Either<UpstreamFailure, UpstreamResponse> second = client.send(
                server,
                new OutboundRequest("GET", "/", List.of(), new byte[0], SendPolicy.POOLED, SHORT, SHORT),
                Cancellation.create());

        assertThat(second.isLeft()).isTrue();
    }

    @Test
    void shouldKeepTheConnectionWhenAFinishedRequestIsCancelledLate() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        AtomicInteger count = new AtomicInteger();
        Address server = listen(_ -> {
            if (count.incrementAndGet() == 2) {
                begun.countDown();
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
        await(begun);
        late.cancel();
        release.countDown();

        assertThat(text(second.get().get())).isEqualTo("whole");
    }

    @Test
    void shouldEndTheSourceWhenTheAnswerHasNoBody() throws IOException {
        for (int status : new int[] {204, 304}) {
            CountDownLatch written = new CountDownLatch(1);
            CountDownLatch closed = new CountDownLatch(1);
            Address server = listen(_ ->
                    Response.of(status, List.of(), new Response.Body.Streamed(0, new CountedSource(written, closed))));
            UpstreamResponse answer = send(server, "GET", "", SendPolicy.POOLED).get();
            assertThat(answer.status()).isEqualTo(status);
            answer.close();
            await(written);
            await(closed);
        }
    }

    @Test
    void shouldKeepTheLengthWhenOnlyTheHeadIsAskedFor() throws IOException {
        Address server = listen(_ -> Response.text(200, "text/plain", "five."));
        UpstreamResponse answer = send(server, "HEAD", "", SendPolicy.POOLED).get();

        assertThat(answer.length()).isEqualTo(5);
        assertThat(text(answer)).isEmpty();
        answer.close();
    }

    @Test
    void shouldSayNotSentWhenThePeerDiesBeforeTheGoAhead() throws IOException {
        Address server = scripted("");
        Either<UpstreamFailure, UpstreamResponse> answer = send(server, "POST", "booking", SendPolicy.EXPECT_CONTINUE);

        assertThat(answer.getLeft()).isInstanceOf(UpstreamFailure.NotSent.class);
    }

    @Test
    void shouldSayAnswerLostWhenThePeerDiesAfterTheGoAhead() throws IOException {
        Address server = scripted("HTTP/1.1 100 Continue\r\n\r\n");
        Either<UpstreamFailure, UpstreamResponse> answer = send(server, "POST", "booking", SendPolicy.EXPECT_CONTINUE);

        assertThat(answer.getLeft()).isInstanceOf(UpstreamFailure.ResponseLost.class);
    }

    @Test
    void shouldSayAnswerLostWhenTheAnswerHasNoLength() throws IOException {
        Address server = scripted("HTTP/1.1 200 OK\r\n\r\npart of");
        Either<UpstreamFailure, UpstreamResponse> answer = send(server, "GET", "", SendPolicy.POOLED);

        assertThat(answer.getLeft()).isInstanceOf(UpstreamFailure.ResponseLost.class);
    }

    @Test
    void shouldFailWhenTheAnswerIsTruncated() throws IOException {
        Address server = scripted("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart of");
        UpstreamResponse answer = send(server, "GET", "", SendPolicy.POOLED).get();

        assertThrows(IOException.class, () -> answer.writeTo(new ByteArrayOutputStream()));
        answer.close();
    }

    @Test
    void shouldNeverEndATruncatedAnswerWhenItsSourceFails() throws IOException {
        Address server = listen(_ ->
                Response.of(200, List.of(), new Response.Body.Streamed(Response.UNKNOWN_LENGTH, new BrokenSource())));
        UpstreamResponse answer = send(server, "GET", "", SendPolicy.POOLED).get();

        assertThrows(IOException.class, () -> answer.readBody(LIMIT_BYTES));
        answer.close();
    }

    @Test
    void shouldOpenANewConnectionWhenTheDeliveryAsksForOne() throws IOException {
        HttpListener listener = listener(_ -> Response.text(200, "text/plain", "first"));
        assertThat(text(send(listener.address(), "GET", "", SendPolicy.POOLED).get()))
                .isEqualTo("first");
        listener.close();
        Either<UpstreamFailure, UpstreamResponse> answer =
                send(listener.address(), "POST", "booking", SendPolicy.NEW_CONNECTION);

        assertThat(answer.getLeft()).isInstanceOf(UpstreamFailure.NotSent.class);
    }

    @Test
    void shouldTellTheHandlerWhenThePeerGoesAway() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch gone = new CountDownLatch(1);
        Address server = listen(request -> {
            request.onPeerDisconnect(gone::countDown);
            begun.countDown();
            await(gone);
            return Response.text(200, "text/plain", "");
        });
        Cancellation cancellation = Cancellation.create();
        Future<Either<UpstreamFailure, UpstreamResponse>> answer =
                executor.submit(() -> client.send(server, request("GET", "", SendPolicy.POOLED), cancellation));
        await(begun);
        cancellation.cancel();

        assertThat(answer.get().getLeft()).isInstanceOf(UpstreamFailure.Cancelled.class);
        assertThat(gone.await(30, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void shouldFinishWhatIsInFlightWhenDrained() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        HttpListener listener = listener(_ -> {
            begun.countDown();
            await(release);
            return Response.text(200, "text/plain", "whole");
        });
        Future<Either<UpstreamFailure, UpstreamResponse>> answer = executor.submit(
                () -> client.send(listener.address(), request("GET", "", SendPolicy.POOLED), Cancellation.create()));
        await(begun);
        Future<Boolean> drained = executor.submit(() -> listener.drain(Duration.ofSeconds(30)));
        release.countDown();

        assertThat(text(answer.get().get())).isEqualTo("whole");
        assertThat(drained.get()).isTrue();
        try (UpstreamClient other = UpstreamClient.of(1)) {
            Either<UpstreamFailure, UpstreamResponse> refused =
                    other.send(listener.address(), request("GET", "", SendPolicy.POOLED), Cancellation.create());
            assertThat(refused.getLeft()).isInstanceOf(UpstreamFailure.NotSent.class);
        }
    }

    @Test
    void shouldAnswerOthersWhenOnePeerSendsGarbage() throws IOException {
        Address server = listen(_ -> Response.text(200, "text/plain", "well"));
        try (Socket socket = new Socket(server.host(), server.port())) {
            socket.getOutputStream().write("\u0000\u0001 garbage\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            assertThat(socket.getInputStream().read()).isNotEqualTo(0);
        }
        assertThat(text(send(server, "GET", "", SendPolicy.POOLED).get())).isEqualTo("well");
    }

    // -- helpers

    private Either<UpstreamFailure, UpstreamResponse> send(
            Address peer, String method, String body, SendPolicy delivery) {
        return client.send(peer, request(method, body, delivery), Cancellation.create());
    }

    private static OutboundRequest request(String method, String body, SendPolicy delivery) {
        return new OutboundRequest(
                method,
                "/path",
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                delivery,
                Duration.ofSeconds(10),
                Duration.ofSeconds(30));
    }

    private static String text(UpstreamResponse answer) throws IOException {
        return new String(answer.readBody(LIMIT_BYTES).orElseThrow(), StandardCharsets.UTF_8);
    }

    private Address listen(RequestHandler handler) {
        return listener(handler).address();
    }

    private HttpListener listener(RequestHandler handler) {
        HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults())
                .get();
        open.add(listener);
        return listener;
    }

    /** Listens, reads the first bytes of a request, writes the given text and closes. */
    private Address scripted(String text) throws IOException {
        ServerSocket server = new ServerSocket(0);
        open.add(server);
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

    /** Tells that it was written and closed. */
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

    /** Writes a part of a body and then fails. */
    private static final class BrokenSource implements Response.BodySource {
        @Override
        public void writeTo(OutputStream output) throws IOException {
            output.write("part of".getBytes(StandardCharsets.UTF_8));
            output.flush();
            throw new IOException("the source broke");
        }

        @Override
        public void close() {}
    }
}
