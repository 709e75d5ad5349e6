package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the client against targets whose bytes do not end. */
@Timeout(60)
class EndlessResponseTest {
    private static final int LIMIT_BYTES = 64_000_000;
    private static final int BUDGET_BYTES = 8_000_000;
    private static final int BLOCK_BYTES = 16_384;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicLong clockNanoseconds = new AtomicLong();
    private final UpstreamClient client = UpstreamClient.of(10, clockNanoseconds::get);

    @AfterEach
    void closeAll() throws Exception {
        client.close();
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        executor.shutdownNow();
    }

    @Test
    void shouldTimeOutWhenABodyTricklesBeyondTheTimeLimit() throws Exception {
        EndlessTarget target = startTrickle("HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n");

        assertThat(exchange(target).getLeft()).isInstanceOf(UpstreamFailure.TimedOut.class);
        assertThat(target.awaitClosedByPeer()).isTrue();
    }

    @Test
    void shouldTimeOutWhenAHeadTricklesBeyondTheTimeLimit() throws Exception {
        EndlessTarget target = startTrickle("HTTP/1.1 200 OK\r\nName: ");

        assertThat(exchange(target).getLeft()).isInstanceOf(UpstreamFailure.TimedOut.class);
        assertThat(target.awaitClosedByPeer()).isTrue();
    }

    @Test
    void shouldCloseTheConnectionWhenAHeadDoesNotEnd() throws Exception {
        String name = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
        assertHeadLimit("HTTP/1.1 200 ", "a");
        assertHeadLimit("", "a");
        assertHeadLimit("", "\r\n");
        assertHeadLimit(name + "Name: ", "a");
        assertHeadLimit(name, "Name: value\r\n");
        assertHeadLimit(name + "Name: value\r\n", " folded\r\n");
        assertHeadLimit(name, "Name: " + "a".repeat(7_000) + "\r\n");
    }

    @Test
    void shouldCloseTheConnectionWhenInformationalResponsesDoNotEnd() throws Exception {
        assertHeadLimit("", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n");
        assertHeadLimit("", "HTTP/1.1 100 Continue\r\n\r\n");
    }

    @Test
    void shouldCloseTheConnectionWhenTheFramingOfABodyDoesNotEnd() throws Exception {
        String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertHeadLimit(chunked + "2;", "extension");
        assertHeadLimit(chunked + "2\r\nok\r\n0\r\n", "Name: value\r\n");
        assertHeadLimit(chunked + "2\r\nok\r\n0\r\n", "Name: " + "a".repeat(7_000) + "\r\n");
    }

    @Test
    void shouldCloseTheConnectionWhenTheAnswerToAnotherRequestDoesNotEnd() throws Exception {
        EndlessTarget target =
                startRepeating("HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n");

        assertThat(exchange(target).getLeft())
                .isEqualTo(new UpstreamFailure.LimitExceeded(UpstreamFailure.Limit.SKIPPED));
        assertThat(target.awaitClosedByPeer()).isTrue();
    }

    @Test
    void shouldSkipALongAnswerToAnotherRequestWhenTheOwnAnswerFollows() throws Exception {
        int length = 600_000;
        String late = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: " + length + "\r\n\r\n" + "a".repeat(length);
        EndlessTarget target = startRepeating(late + "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok", "a");

        assertThat(exchange(target).get().body()).isEqualTo(bytes("ok"));
    }

    @Test
    void shouldHoldAllExchangesToOneBudgetWhenTheirBodiesDoNotEnd() throws Exception {
        BodyMemoryBudget budget = BodyMemoryBudget.of(BUDGET_BYTES);
        AtomicLong highest = new AtomicLong();
        byte[] repeated = bytes("a".repeat(BLOCK_BYTES));
        EndlessTarget target = closeLater(EndlessTarget.start(executor, bytes("HTTP/1.1 200 OK\r\n\r\n"), () -> {
            highest.accumulateAndGet(budget.reservedBytes(), Math::max);
            return repeated;
        }));
        List<BodyReservation> reservations = new ArrayList<>();
        List<Future<Either<UpstreamFailure, BufferedResponse>>> exchanges = new ArrayList<>();
        for (int index = 0; index < 8; index++) {
            BodyReservation reservation = BodyReservation.of(budget);
            reservations.add(reservation);
            exchanges.add(executor.submit(() -> exchange(target, reservation)));
        }
        for (Future<Either<UpstreamFailure, BufferedResponse>> exchange : exchanges) {
            assertThat(exchange.get().getLeft())
                    .isEqualTo(new UpstreamFailure.LimitExceeded(UpstreamFailure.Limit.MEMORY));
        }

        assertThat(highest.get()).isGreaterThan(0);
        assertThat(highest.get()).isAtMost(BUDGET_BYTES);
        assertThat(budget.reservedBytes()).isEqualTo(0);
        assertThat(target.awaitClosedByPeer()).isTrue();
        reservations.forEach(BodyReservation::close);
    }

    @Test
    void shouldKeepTheBodyReservedUntilTheReservationIsClosedWhenTheAnswerIsWhole() throws Exception {
        int length = BUDGET_BYTES / 8 - BLOCK_BYTES;
        String body = "a".repeat(length);
        EndlessTarget target =
                startRepeating("HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: " + length + "\r\n\r\n" + body, "b");
        BodyMemoryBudget budget = BodyMemoryBudget.of(BUDGET_BYTES);
        BodyReservation reservation = BodyReservation.of(budget);

        assertThat(exchange(target, reservation).get().body()).isEqualTo(bytes(body));
        assertThat(budget.reservedBytes()).isEqualTo(length);
        reservation.close();
        assertThat(budget.reservedBytes()).isEqualTo(0);
    }

    @Test
    void shouldRefuseAnAnswerAtOnceWhenNoMemoryIsLeft() throws Exception {
        EndlessTarget target = startRepeating("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n", "a");
        BodyMemoryBudget budget = BodyMemoryBudget.of(BUDGET_BYTES);
        assertThat(budget.tryReserve(BUDGET_BYTES)).isTrue();

        assertThat(exchange(target, BodyReservation.of(budget)).getLeft())
                .isEqualTo(new UpstreamFailure.LimitExceeded(UpstreamFailure.Limit.MEMORY));
        assertThat(target.awaitClosedByPeer()).isTrue();
    }

    @Test
    void shouldCloseTheConnectionWhenBytesFollowACompleteAnswer() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok";
        EndlessTarget target = startRepeating(answer + "a".repeat(100), "a");

        assertThat(exchange(target).get().body()).isEqualTo(bytes("ok"));
        assertThat(target.awaitClosedByPeer()).isTrue();
    }

    // -- helpers

    private void assertHeadLimit(String start, String next) throws Exception {
        EndlessTarget target = startRepeating(start, next);
        assertThat(exchange(target).getLeft()).isEqualTo(new UpstreamFailure.LimitExceeded(UpstreamFailure.Limit.HEAD));
        assertThat(target.awaitClosedByPeer()).isTrue();
    }

    /** Starts a target that sends the start and then the next text again and again. */
    private EndlessTarget startRepeating(String start, String next) throws IOException {
        byte[] repeated = bytes(next.repeat(Math.max(1, BLOCK_BYTES / next.length())));
        return closeLater(EndlessTarget.start(executor, bytes(start), () -> repeated));
    }

    private Either<UpstreamFailure, BufferedResponse> exchange(EndlessTarget target) {
        return exchange(target, BodyReservation.unlimited());
    }

    private Either<UpstreamFailure, BufferedResponse> exchange(EndlessTarget target, BodyReservation reservation) {
        OutboundRequest request =
                new OutboundRequest("GET", "/path", List.of(), new byte[0], SendPolicy.POOLED, TIMEOUT, TIMEOUT);
        ResponseMatcher matcher = ResponseMatcher.matching(headers ->
                HeaderField.find(headers, "Id").filter(id -> !id.equals("own")).isEmpty());
        BodyAllowance allowance = new BodyAllowance(LIMIT_BYTES, reservation);
        return client.exchange(target.address(), request, matcher, allowance, Cancellation.create());
    }

    /** Starts a target that sends the start, and then a byte in each second of the client's clock. */
    private EndlessTarget startTrickle(String start) throws IOException {
        return closeLater(EndlessTarget.start(
                executor,
                bytes(start),
                () -> {
                    clockNanoseconds.addAndGet(TimeUnit.SECONDS.toNanos(1));
                    return new byte[] {'a'};
                },
                1_000_000));
    }

    private EndlessTarget closeLater(EndlessTarget target) {
        closeables.add(target);
        return target;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
