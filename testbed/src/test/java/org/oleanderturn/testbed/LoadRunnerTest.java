package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;

final class LoadRunnerTest {
    private final Map<String, Integer> attemptsByKey = new ConcurrentHashMap<>();
    private HttpListener listener;

    @AfterEach
    void stop() {
        listener.close();
    }

    @Test
    void shouldCountEachRequestOnceWhenAllAreAnswered() {
        LoadReport report = run(
                50,
                request -> Response.text(200, "text/plain", "here\n")
                        .withHeader(ProxyHeaders.OUTCOME, "ran")
                        .withHeader(ProxyHeaders.CONFIGURATION_VERSION, 3));

        assertThat(report.sent()).isEqualTo(40);
        assertThat(report.answered()).isEqualTo(40);
        assertThat(report.olderVersions()).isEmpty();
        assertThat(report.latencies().values().stream()
                        .mapToLong(LoadLatency::count)
                        .sum())
                .isEqualTo(40);
    }

    @Test
    void shouldRetryBookingUnderItsKeyWhenItsOutcomeIsUnknown() {
        LoadReport report = run(100, this::answerSecondAttempt);

        assertThat(report.answered()).isEqualTo(40);
        assertThat(report.resent()).isEqualTo(40);
        assertThat(attemptsByKey.values()).containsExactlyElementsIn(Collections.nCopies(40, 2));
    }

    @Test
    void shouldCountTruncatedAnswerAsLost() {
        LoadReport report =
                run(0, request -> Response.of(200, List.of(), new Response.Body.Streamed(10, new TruncatedSource())));

        assertThat(report.lost()).isEqualTo(40);
        assertThat(report.answered()).isEqualTo(0);
    }

    @Test
    void shouldAccountForEveryRequestWhenStoppedWhileRequestsAreUnderWay() throws InterruptedException {
        CountDownLatch requestStarted = new CountDownLatch(1);
        CountDownLatch runnerStopped = new CountDownLatch(1);
        LoadRunner runner = runner(0, 60_000, _ -> {
            requestStarted.countDown();
            awaitQuietly(runnerStopped);
            return Response.text(200, "text/plain", "here\n").withHeader(ProxyHeaders.OUTCOME, "ran");
        });
        CompletableFuture<LoadReport> report = CompletableFuture.supplyAsync(runner::run);
        requestStarted.await();
        runner.stop();
        runnerStopped.countDown();

        assertThat(report.join().sent()).isAtLeast(1);
        assertThat(report.join().answered()).isEqualTo(report.join().sent());
    }

    @Test
    void shouldReportOlderVersionWhenEntryGoesBack() {
        LoadReport report = run(
                0,
                request -> Response.text(200, "text/plain", "here\n")
                        .withHeader(ProxyHeaders.OUTCOME, "ran")
                        .withHeader(
                                ProxyHeaders.CONFIGURATION_VERSION, 50 - attemptsByKey.merge("any", 1, Integer::sum)));

        assertThat(report.olderVersions()).isNotEmpty();
    }

    private Response answerSecondAttempt(InboundRequest request) {
        String key = request.header(ProxyHeaders.IDEMPOTENCY_KEY).orElseThrow();
        boolean isFirst = attemptsByKey.merge(key, 1, Integer::sum) == 1;
        return Response.text(isFirst ? 502 : 200, "text/plain", "\n")
                .withHeader(ProxyHeaders.OUTCOME, isFirst ? "unknown" : "ran");
    }

    private LoadReport run(int bookingPercent, RequestHandler handler) {
        return runner(bookingPercent, 200, handler).run();
    }

    private LoadRunner runner(int bookingPercent, long durationMilliseconds, RequestHandler handler) {
        listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults())
                .get();
        Address entry = Address.of("127.0.0.1", listener.address().port());
        return LoadRunner.of(new LoadPlan(
                List.of(entry),
                200,
                durationMilliseconds,
                "/lookup",
                "/booking",
                "/download",
                bookingPercent,
                0,
                30_000,
                "k",
                1));
    }

    private static void awaitQuietly(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException interrupt) {
            throw new IOException(interrupt);
        }
    }

    /** A body that breaks off after half of its stated length. */
    private static final class TruncatedSource implements Response.BodySource {
        @Override
        public void writeTo(OutputStream output) throws IOException {
            output.write(new byte[5]);
            throw new IOException("body truncated on purpose");
        }

        @Override
        public void close() {}
    }
}
