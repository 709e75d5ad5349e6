package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a client that sends much and reads little, and so takes the memory of the others. */
@Timeout(60)
final class PipelinedMemoryTest {
    private static final int WAIT_MILLISECONDS = 10_000;
    private static final int SETTLE_MILLISECONDS = 400;
    private static final int RESPONSE_BYTES = 1_000_000;
    private static final int REQUESTS = 64;

    /** More than the heads of all requests, which are read ahead. */
    private static final int HEADS_BYTES = 10_000;

    /** The load: responses of 64 MB, far more than sockets hold, to a client that reads none of them for a while. */
    @Test
    void shouldStartNoMoreThanTheBoundBehindAResponseThatIsNotRead() throws Exception {
        BodyMemoryBudget budget = BodyMemoryBudget.of(12L * RESPONSE_BYTES);
        AtomicInteger started = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        RequestHandler handler = request -> {
            started.incrementAndGet();
            if (!request.bodyReservation().tryReserve(RESPONSE_BYTES)) {
                refused.incrementAndGet();
            }
            return Response.text(200, "text/plain", "x".repeat(RESPONSE_BYTES));
        };
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults(), budget)
                        .get();
                RawClient client = new RawClient(listener.address())) {
            for (int request = 0; request < REQUESTS; request++) {
                client.send(RawClient.get("/" + request));
            }
            Thread.sleep(SETTLE_MILLISECONDS);
            assertThat(budget.reservedBytes())
                    .isAtMost((long) RequestPipeline.MAXIMUM_IN_SERVICE * RESPONSE_BYTES + HEADS_BYTES);
            assertThat(started.get()).isLessThan(REQUESTS);
            for (int request = 0; request < REQUESTS; request++) {
                assertThat(client.readResponse()).hasLength("200 ".length() + RESPONSE_BYTES);
            }
            assertThat(refused.get()).isEqualTo(0);
            awaitTrue(() -> budget.reservedBytes() == 0);
        }
    }

    @Test
    void shouldCloseBehindTheStartedRequestWhenTheBudgetAllowsNoMoreInput() throws Exception {
        BodyMemoryBudget budget = BodyMemoryBudget.of(20_000);
        PipelinedHandler handler = new PipelinedHandler();
        handler.hold("/1");
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults(), budget)
                        .get();
                RawClient client = new RawClient(listener.address())) {
            client.send(RawClient.get("/1"));
            awaitTrue(() -> handler.hasStarted("/1"));
            client.send("POST /long HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(100_000)
                    + RawClient.get("/3"));
            Thread.sleep(SETTLE_MILLISECONDS);
            assertThat(budget.reservedBytes()).isAtMost(5_000);
            handler.release("/1");
            assertThat(client.readResponse()).isEqualTo("200 close /1");
            assertThat(client.readResponse()).isEqualTo("end");
            assertThat(handler.hasStarted("/long")).isFalse();
            assertThat(handler.hasStarted("/3")).isFalse();
            client.close();
            awaitTrue(() -> budget.reservedBytes() == 0);
        }
    }

    /** A body of ordinary length behind another request is served as it was before requests were read ahead. */
    @Test
    void shouldServeALongBodyThatArrivesBehindAnotherRequest() throws Exception {
        BodyMemoryBudget budget = BodyMemoryBudget.of(20_000_000);
        PipelinedHandler handler = new PipelinedHandler();
        handler.hold("/1");
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults(), budget)
                        .get();
                RawClient client = new RawClient(listener.address())) {
            client.send(RawClient.get("/1") + "POST /long HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
                    + "\r\n".repeat(500_000) + RawClient.get("/3"));
            awaitTrue(() -> handler.hasStarted("/1"));
            Thread.sleep(SETTLE_MILLISECONDS);
            handler.release("/1");
            assertThat(client.readResponse()).isEqualTo("200 /1");
            assertThat(client.readResponse()).isEqualTo("200 /long");
            assertThat(client.readResponse()).isEqualTo("200 /3");
        }
    }

    private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLISECONDS);
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.sleep(1);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
