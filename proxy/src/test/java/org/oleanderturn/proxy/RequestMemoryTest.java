package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The load: many uploads at once, whose bodies together exceed the memory for bodies. */
@Timeout(60)
final class RequestMemoryTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int BUDGET_BYTES = 400_000;
    private static final int BODY_BYTES = 40_000;
    private static final int LIMIT_BYTES = 1_000_000;
    private static final int UPLOADS = 40;
    private static final int STATUS_FULL = 503;

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final BodyMemoryBudget budget = BodyMemoryBudget.of(BUDGET_BYTES);
    private final CountDownLatch refused = new CountDownLatch(1);
    private final UpstreamClient client = UpstreamClient.of(UPLOADS);

    @AfterEach
    void close() {
        client.close();
        executor.shutdownNow();
    }

    @Test
    void shouldRefuseUploadsAtOnceAndServeSmallRequestsWhenTheMemoryForBodiesIsUsedUp() throws Exception {
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, this::handle, ListenerLimits.defaults(), budget)
                .get()) {
            List<Future<Integer>> uploads = new ArrayList<>();
            for (int upload = 0; upload < UPLOADS; upload++) {
                uploads.add(executor.submit(() -> send(listener, new byte[BODY_BYTES])));
            }
            assertThat(refused.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(send(listener, new byte[0])).isEqualTo(200);
            int served = 0;
            for (Future<Integer> upload : uploads) {
                served += upload.get() == 200 ? 1 : 0;
            }
            assertThat(served).isAtLeast(1);
            assertThat(listener.drain(TIMEOUT)).isTrue();
            assertThat(budget.reservedBytes()).isEqualTo(0);
        }
    }

    /** Holds the body of each upload until one is refused. */
    private Response handle(InboundRequest request) throws IOException {
        Either<UpstreamFailure.Limit, byte[]> body = request.readReservedBody(LIMIT_BYTES);
        if (body.isLeft()) {
            assertThat(body.getLeft()).isEqualTo(UpstreamFailure.Limit.MEMORY);
            refused.countDown();
            return Response.text(STATUS_FULL, "text/plain", "full");
        }
        try {
            var _ = body.get().length == 0 || refused.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
        return Response.text(200, "text/plain", "ok");
    }

    private int send(HttpListener listener, byte[] body) {
        OutboundRequest request =
                new OutboundRequest("POST", "/x", List.of(), body, SendPolicy.POOLED, TIMEOUT, TIMEOUT);
        return client.exchange(
                        listener.address(), request, ResponseMatcher.framed(), LIMIT_BYTES, Cancellation.create())
                .map(BufferedResponse::status)
                .getOrElseThrow(failure -> new AssertionError(failure.toString()));
    }
}
