package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.BodyMemoryBudget;
import org.oleanderturn.proxy.BodyReservation;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.InducedRetries;
import org.oleanderturn.traffic.LinkSchedule;
import org.oleanderturn.traffic.SlotQueue;
import org.oleanderturn.traffic.SlotTicket;

/** Tests what a client gets when the body of a target's or a guard's answer does not end. */
@Timeout(60)
final class EndlessAnswerTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int BUDGET_BYTES = 8_000_000;
    private static final int LIMIT_BYTES = 1_000_000;

    private final EntryFixture fixture = new EntryFixture();
    private final UpstreamClient client = UpstreamClient.of(4);
    private final BodyMemoryBudget budget = BodyMemoryBudget.of(BUDGET_BYTES);
    private final CountDownLatch closed = new CountDownLatch(1);

    @AfterEach
    void close() {
        client.close();
        fixture.close();
    }

    @Test
    void shouldTryAnotherGuardWhenTheAnswerToALookupDoesNotEnd() throws Exception {
        fixture.addGuard(endless()).addGuard(EntryFixture.ran(200, "other"));
        BufferedResponse response = send(RequestKind.LOOKUP);

        assertThat(response.status()).isEqualTo(200);
        assertThat(text(response)).isEqualTo("other");
        assertThat(closed.await(30, TimeUnit.SECONDS)).isTrue();
        assertThat(budget.reservedBytes()).isEqualTo(0);
    }

    @Test
    void shouldLeaveOpenWhetherASingleRequestRanWhenItsAnswerDoesNotEnd() throws Exception {
        fixture.addGuard(endless()).addGuard(EntryFixture.ran(200, "twice"));
        BufferedResponse response = send(RequestKind.SINGLE);

        assertThat(response.status()).isEqualTo(502);
        assertThat(text(response)).isEqualTo("GUARD_ANSWER_LIMIT_MEMORY\n");
        assertThat(response.header("Retry-After")).isEqualTo(Optional.empty());
        assertThat(fixture.requestCount(1)).isEqualTo(0);
        assertThat(closed.await(30, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void shouldNotTakeTheTargetForEndedWhenItsAnswerDoesNotEnd() throws Exception {
        try (HttpListener target = HttpListener.start("127.0.0.1", 0, endless(), ListenerLimits.defaults())
                .get()) {
            SlotQueue slots = SlotQueue.of(System::nanoTime);
            NodeId node = NodeId.of("own");
            LocalTarget localTarget = LocalTarget.of(node, SERVICE, slots, Duration.ofMinutes(1), System::nanoTime);
            localTarget.applyReport(new TargetReport(new TargetStart("i-1", 1), 1, SERVICE, 9, false));
            MeshGuard guard = MeshGuard.of(
                    target.address(),
                    localTarget,
                    slots,
                    client,
                    SlotTicket::await,
                    new FakeProtocolAdapter(Optional.empty()),
                    CrashMonitor.of(node, CrashLedger.of(() -> 0), _ -> {}, System::nanoTime),
                    _ -> {},
                    ResponsePacer.of(LinkSchedule.unlimited(System::nanoTime), Thread::sleep),
                    InducedRetries.none(),
                    System::nanoTime);

            assertThat(guard.execute(guardRequest())).isEqualTo(GuardReply.Unknown.of("ANSWER_LIMIT_MEMORY"));
            assertThat(localTarget.activeStart()).isPresent();
            assertThat(closed.await(30, TimeUnit.SECONDS)).isTrue();
            assertThat(budget.reservedBytes()).isEqualTo(0);
        }
    }

    // -- helpers

    /** Sends a request to an entry whose listener has the budget, and waits until the entry has finished it. */
    private BufferedResponse send(RequestKind kind) {
        MeshEntry entry = fixture.entry(kind, 2, new FakeProtocolAdapter(Optional.of(TIMEOUT)));
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, entry, ListenerLimits.defaults(), budget)
                .get()) {
            OutboundRequest request = new OutboundRequest(
                    "GET",
                    "/a/x",
                    List.of(HeaderField.of("Id", "a1")),
                    new byte[0],
                    SendPolicy.POOLED,
                    TIMEOUT,
                    TIMEOUT);
            BufferedResponse response = client.exchange(
                            listener.address(), request, ResponseMatcher.framed(), LIMIT_BYTES, Cancellation.create())
                    .get();
            assertThat(listener.drain(TIMEOUT)).isTrue();
            return response;
        }
    }

    private RequestHandler endless() {
        return _ -> Response.of(
                200,
                List.of(HeaderField.of("Signed", "i-1")),
                new Response.Body.Streamed(Response.UNKNOWN_LENGTH, new EndlessSource(closed)));
    }

    private GuardRequest guardRequest() {
        GuardRequestMetadata metadata = new GuardRequestMetadata(
                SERVICE,
                ServiceName.of("caller"),
                RequestKind.LOOKUP,
                1,
                TIMEOUT,
                Duration.ofMillis(600),
                Duration.ZERO,
                1,
                false,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
        return new GuardRequest(
                "GET",
                "/a/x",
                List.of(),
                new byte[0],
                RequestIdentity.of("GET", "/a/x", new byte[0]),
                new ClientRequestMetadata("id-1", Optional.of(TIMEOUT), "host.example"),
                metadata,
                Duration.ZERO,
                TIMEOUT,
                BodyReservation.of(budget),
                Cancellation.create());
    }

    private static String text(BufferedResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    /** Writes until the connection is closed, or until it has written far more than any budget of these tests. */
    private record EndlessSource(CountDownLatch closed) implements Response.BodySource {
        private static final int BLOCK_BYTES = 16_384;
        private static final int GIVE_UP_BLOCKS = 4 * BUDGET_BYTES / BLOCK_BYTES;

        @Override
        public void writeTo(OutputStream output) throws IOException {
            byte[] block = new byte[BLOCK_BYTES];
            for (int count = 0; count < GIVE_UP_BLOCKS; count++) {
                try {
                    output.write(block);
                } catch (IOException cause) {
                    closed.countDown();
                    throw cause;
                }
            }
        }

        @Override
        public void close() {
            // Nothing is held.
        }
    }
}
