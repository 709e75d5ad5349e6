package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.proxy.FakeMesh.Call;
import org.oleanderturn.proxy.FakeMesh.Reply;
import org.oleanderturn.traffic.LocalReply;

/** Tests the replies that an entry generates without a response from a target. */
@Timeout(60)
class EntryTest {

    @Test
    void shouldReplyNotRunWithoutClaimingWhenTheDeadlineHasPassed() throws Exception {
        try (FakeMesh mesh = new FakeMesh(_ -> FaultRelay.FaultAction.PASS, _ -> FaultRelay.FaultAction.PASS)) {
            Call call = new Call("/booking", "late", "order-1", Duration.ZERO, Cancellation.create());
            Reply reply = mesh.sendToFirst(call).orElseThrow();

            assertThat(reply.outcome()).isEqualTo(Optional.of(RequestOutcome.NOT_RUN));
            assertThat(mesh.store().writes()).isEqualTo(0);
            assertThat(mesh.runs()).isEmpty();
        }
    }

    @Test
    void shouldReleaseTheClaimWhenTheDeadlinePassesWhileItIsBeingStored() throws Exception {
        try (FakeMesh mesh = new FakeMesh(_ -> FaultRelay.FaultAction.PASS, _ -> FaultRelay.FaultAction.PASS)) {
            Duration deadline = Duration.ofMillis(50);
            mesh.store().runBeforeCall(() -> IoUtilities.sleep(deadline.toMillis() + 10));
            Call call = new Call("/booking", "late", "order-1", deadline, Cancellation.create());
            Reply late = mesh.sendToFirst(call).orElseThrow();
            Call next = new Call("/booking", "next", "order-1", Duration.ofSeconds(30), Cancellation.create());
            Reply served = mesh.sendToSecond(next).orElseThrow();

            assertThat(late.outcome()).isEqualTo(Optional.of(RequestOutcome.NOT_RUN));
            assertThat(served.status()).isEqualTo(200);
            assertThat(mesh.runs()).containsExactly("next");
        }
    }

    @Test
    void shouldRejectTheRequestWhenTheBodyBudgetIsExhausted() throws Exception {
        try (FakeMesh mesh =
                new FakeMesh(_ -> FaultRelay.FaultAction.PASS, _ -> FaultRelay.FaultAction.PASS, "bookings", 4)) {
            Call call = new Call("/booking", "large", "order-1", Duration.ofSeconds(30), Cancellation.create());
            Reply reply = mesh.sendToFirst(call).orElseThrow();

            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.outcome()).isEqualTo(Optional.of(RequestOutcome.NOT_RUN));
            assertThat(reply.hasRetryAfter()).isTrue();
            assertThat(mesh.runs()).isEmpty();
        }
    }

    @Test
    void shouldReserveNoMoreThanTheLimitWhenBytesAreReservedAndReleased() {
        BodyMemoryBudget budget = BodyMemoryBudget.of(10);

        assertThat(budget.tryReserve(6)).isTrue();
        assertThat(budget.tryReserve(5)).isFalse();
        assertThat(budget.reservedBytes()).isEqualTo(6);
        budget.release(6);
        assertThat(budget.tryReserve(10)).isTrue();
    }

    @Test
    void shouldAddRetryAfterWhenTheErrorResponseOfTheTargetHasNone() {
        LocalReply localReply = LocalReply.of(LocalReply.Status.FAILED, Duration.ofMillis(1_200));
        Response failure = LocalReplies.targetFailure(Response.text(500, "text/plain", "broken"), localReply);

        assertThat(HeaderField.find(failure.headers(), ProxyHeaders.RETRY_AFTER))
                .isEqualTo(Optional.of("2"));
        assertThat(HeaderField.find(failure.headers(), ProxyHeaders.OUTCOME)).isEqualTo(Optional.of("ran"));
    }

    @Test
    void shouldReplyNotRunWhenTheTargetProvidesAnotherService() throws Exception {
        try (FakeMesh mesh =
                new FakeMesh(_ -> FaultRelay.FaultAction.PASS, _ -> FaultRelay.FaultAction.PASS, "other", 1_000_000)) {
            Call call = new Call("/lookup", "strange", "order-1", Duration.ofSeconds(30), Cancellation.create());
            Reply reply = mesh.sendToFirst(call).orElseThrow();

            assertThat(reply.outcome()).isEqualTo(Optional.of(RequestOutcome.NOT_RUN));
            assertThat(mesh.runs()).isEmpty();
        }
    }
}
