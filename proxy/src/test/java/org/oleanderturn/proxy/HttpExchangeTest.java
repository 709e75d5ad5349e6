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
            return Answer.of(200, List.of(HeaderField.of("Seen", request.method())), new Answer.Body.Whole(body));
        });
        for (int round = 0; round < 3; round++) {
            UpstreamAnswer answer =
                    send(server, "POST", "hello", Delivery.POOLED).get();
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.header("seen")).isEqualTo(Optional.of("POST"));
            assertThat(text(answer)).isEqualTo("hello");
            answer.close();
        }
    }

    @Test
    void shouldNotSendTheBodyWhenTheGoAheadIsRefused() throws IOException {
        Address server = listen(_ -> Answer.text(503, "text/plain", "draining"));
        UpstreamAnswer answer =
                send(server, "POST", "booking", Delivery.GO_AHEAD).get();

        assertThat(answer.status()).isEqualTo(503);
        answer.close();
    }

    @Test
    void shouldSendTheBodyWhenTheGoAheadIsGiven() throws IOException {
        AtomicInteger ran = new AtomicInteger();
        Address server = listen(request -> {
            byte[] body = request.readBody(LIMIT_BYTES).orElseThrow();
            ran.incrementAndGet();
            return Answer.of(200, List.of(), new Answer.Body.Whole(body));
        });
        UpstreamAnswer answer =
                send(server, "POST", "booking", Delivery.GO_AHEAD).get();

        assertThat(text(answer)).isEqualTo("booking");
        assertThat(ran.get()).isEqualTo(1);
        answer.close();
    }

    @Test
    void shouldNotRunAnEmptyBookingWhenItsSenderLeavesBeforeTheGoAhead() throws Exception {
        CountDownLatch isGone = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        AtomicInteger ran = new AtomicInteger();
        Address server = listen(request -> {
            await(isGone);
            try {
                var _ = request.readBody(LIMIT_BYTES).orElseThrow();
                ran.incrementAndGet();
            } finally {
                ended.countDown();
            }
            return Answer.text(200, "text/plain", "");
        });
        OutboundRequest booking =
                new OutboundRequest("POST", "/", List.of(), new byte[0], Delivery.GO_AHEAD, SHORT, SHORT);
        Either<ForwardFailure, UpstreamAnswer> answer = client.send(server, booking, Cancellation.create());
        isGone.countDown();
        await(ended);

        assertThat(answer.getLeft()).isInstanceOf(ForwardFailure.NotSent.class);
        assertThat(ran.get()).isEqualTo(0);
    }

    @Test
    void shouldNotTakeAnotherAnswerWhenThePeerSentOneTwice() throws IOException {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        Address server = scripted(answer + answer.replace("first", "stale"));
        UpstreamAnswer first = send(server, "GET", "", Delivery.POOLED).get();
        assertThat(text(first)).isEqualTo("first");
        first.close();
        Either<ForwardFailure, UpstreamAnswer> second = client.send(
                server,
                new OutboundRequest("GET", "/", List.of(), new byte[0], Delivery.POOLED, SHORT, SHORT),
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
            return Answer.text(200, "text/plain", "whole");
        });
        Cancellation late = Cancellation.create();
        UpstreamAnswer first =
                client.send(server, request("GET", "", Delivery.POOLED), late).get();
        assertThat(text(first)).isEqualTo("whole");
        first.close();
        Future<Either<ForwardFailure, UpstreamAnswer>> second =
                executor.submit(() -> send(server, "GET", "", Delivery.POOLED));
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
            Address server = listen(
                    _ -> Answer.of(status, List.of(), new Answer.Body.Streamed(0, new CountedSource(written, closed))));
            UpstreamAnswer answer = send(server, "GET", "", Delivery.POOLED).get();
            assertThat(answer.status()).isEqualTo(status);
            answer.close();
            await(written);
            await(closed);
        }
    }

    @Test
    void shouldKeepTheLengthWhenOnlyTheHeadIsAskedFor() throws IOException {
        Address server = listen(_ -> Answer.text(200, "text/plain", "five."));
        UpstreamAnswer answer = send(server, "HEAD", "", Delivery.POOLED).get();

        assertThat(answer.length()).isEqualTo(5);
        assertThat(text(answer)).isEmpty();
        answer.close();
    }

    @Test
    void shouldSayNotSentWhenThePeerDiesBeforeTheGoAhead() throws IOException {
        Address server = scripted("");
        Either<ForwardFailure, UpstreamAnswer> answer = send(server, "POST", "booking", Delivery.GO_AHEAD);

        assertThat(answer.getLeft()).isInstanceOf(ForwardFailure.NotSent.class);
    }

    @Test
    void shouldSayAnswerLostWhenThePeerDiesAfterTheGoAhead() throws IOException {
        Address server = scripted("HTTP/1.1 100 Continue\r\n\r\n");
        Either<ForwardFailure, UpstreamAnswer> answer = send(server, "POST", "booking", Delivery.GO_AHEAD);

        assertThat(answer.getLeft()).isInstanceOf(ForwardFailure.AnswerLost.class);
    }

    @Test
    void shouldSayAnswerLostWhenTheAnswerHasNoLength() throws IOException {
        Address server = scripted("HTTP/1.1 200 OK\r\n\r\npart of");
        Either<ForwardFailure, UpstreamAnswer> answer = send(server, "GET", "", Delivery.POOLED);

        assertThat(answer.getLeft()).isInstanceOf(ForwardFailure.AnswerLost.class);
    }

    @Test
    void shouldFailWhenTheAnswerIsTruncated() throws IOException {
        Address server = scripted("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart of");
        UpstreamAnswer answer = send(server, "GET", "", Delivery.POOLED).get();

        assertThrows(IOException.class, () -> answer.writeTo(new ByteArrayOutputStream()));
        answer.close();
    }

    @Test
    void shouldNeverEndATruncatedAnswerWhenItsSourceFails() throws IOException {
        Address server = listen(
                _ -> Answer.of(200, List.of(), new Answer.Body.Streamed(Answer.UNKNOWN_LENGTH, new BrokenSource())));
        UpstreamAnswer answer = send(server, "GET", "", Delivery.POOLED).get();

        assertThrows(IOException.class, () -> answer.readBody(LIMIT_BYTES));
        answer.close();
    }

    @Test
    void shouldOpenANewConnectionWhenTheDeliveryAsksForOne() throws IOException {
        HttpListener listener = listener(_ -> Answer.text(200, "text/plain", "first"));
        assertThat(text(send(listener.address(), "GET", "", Delivery.POOLED).get()))
                .isEqualTo("first");
        listener.close();
        Either<ForwardFailure, UpstreamAnswer> answer =
                send(listener.address(), "POST", "booking", Delivery.NEW_CONNECTION);

        assertThat(answer.getLeft()).isInstanceOf(ForwardFailure.NotSent.class);
    }

    @Test
    void shouldTellTheHandlerWhenThePeerGoesAway() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch gone = new CountDownLatch(1);
        Address server = listen(request -> {
            request.onPeerGone(gone::countDown);
            begun.countDown();
            await(gone);
            return Answer.text(200, "text/plain", "");
        });
        Cancellation cancellation = Cancellation.create();
        Future<Either<ForwardFailure, UpstreamAnswer>> answer =
                executor.submit(() -> client.send(server, request("GET", "", Delivery.POOLED), cancellation));
        await(begun);
        cancellation.cancel();

        assertThat(answer.get().getLeft()).isInstanceOf(ForwardFailure.Cancelled.class);
        assertThat(gone.await(30, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void shouldFinishWhatIsInFlightWhenDrained() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        HttpListener listener = listener(_ -> {
            begun.countDown();
            await(release);
            return Answer.text(200, "text/plain", "whole");
        });
        Future<Either<ForwardFailure, UpstreamAnswer>> answer = executor.submit(
                () -> client.send(listener.address(), request("GET", "", Delivery.POOLED), Cancellation.create()));
        await(begun);
        Future<Boolean> drained = executor.submit(() -> listener.drain(Duration.ofSeconds(30)));
        release.countDown();

        assertThat(text(answer.get().get())).isEqualTo("whole");
        assertThat(drained.get()).isTrue();
        try (UpstreamClient other = UpstreamClient.of(1)) {
            Either<ForwardFailure, UpstreamAnswer> refused =
                    other.send(listener.address(), request("GET", "", Delivery.POOLED), Cancellation.create());
            assertThat(refused.getLeft()).isInstanceOf(ForwardFailure.NotSent.class);
        }
    }

    @Test
    void shouldAnswerOthersWhenOnePeerSendsGarbage() throws IOException {
        Address server = listen(_ -> Answer.text(200, "text/plain", "well"));
        try (Socket socket = new Socket(server.host(), server.port())) {
            socket.getOutputStream().write("\u0000\u0001 garbage\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            assertThat(socket.getInputStream().read()).isNotEqualTo(0);
        }
        assertThat(text(send(server, "GET", "", Delivery.POOLED).get())).isEqualTo("well");
    }

    // -- helpers

    private Either<ForwardFailure, UpstreamAnswer> send(Address peer, String method, String body, Delivery delivery) {
        return client.send(peer, request(method, body, delivery), Cancellation.create());
    }

    private static OutboundRequest request(String method, String body, Delivery delivery) {
        return new OutboundRequest(
                method,
                "/path",
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                delivery,
                Duration.ofSeconds(10),
                Duration.ofSeconds(30));
    }

    private static String text(UpstreamAnswer answer) throws IOException {
        return new String(answer.readBody(LIMIT_BYTES).orElseThrow(), StandardCharsets.UTF_8);
    }

    private Address listen(RequestHandler handler) {
        return listener(handler).address();
    }

    private HttpListener listener(RequestHandler handler) {
        HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.standard())
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
    private record CountedSource(CountDownLatch written, CountDownLatch closed) implements Answer.Source {
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
    private static final class BrokenSource implements Answer.Source {
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
