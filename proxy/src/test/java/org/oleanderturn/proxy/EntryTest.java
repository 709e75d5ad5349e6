package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.proxy.FakeMesh.Call;
import org.oleanderturn.proxy.FakeMesh.Reply;
import org.oleanderturn.traffic.LocalReply;

/** What an entry answers before it forwards anything. */
@Timeout(60)
class EntryTest {

    @Test
    void shouldSayNotRunAndClaimNothingWhenTheDeadlineHasPassed() throws Exception {
        try (FakeMesh mesh = new FakeMesh(_ -> FaultRelay.Verdict.PASS, _ -> FaultRelay.Verdict.PASS)) {
            Call call = new Call("/booking", "late", "order-1", Duration.ZERO, Cancellation.create());
            Reply reply = mesh.sendToFirst(call).orElseThrow();

            assertThat(reply.outcome()).isEqualTo(Optional.of(RequestOutcome.NOT_RUN));
            assertThat(mesh.store().writes()).isEqualTo(0);
            assertThat(mesh.runs()).isEmpty();
        }
    }

    @Test
    void shouldReleaseTheClaimWhenTheDeadlinePassesWhileItIsWritten() throws Exception {
        try (FakeMesh mesh = new FakeMesh(_ -> FaultRelay.Verdict.PASS, _ -> FaultRelay.Verdict.PASS)) {
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
    void shouldRefuseWhenTheBodiesHeldLeaveNoRoom() throws Exception {
        try (FakeMesh mesh = new FakeMesh(_ -> FaultRelay.Verdict.PASS, _ -> FaultRelay.Verdict.PASS, "bookings", 4)) {
            Call call = new Call("/booking", "large", "order-1", Duration.ofSeconds(30), Cancellation.create());
            Reply reply = mesh.sendToFirst(call).orElseThrow();

            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.outcome()).isEqualTo(Optional.of(RequestOutcome.NOT_RUN));
            assertThat(reply.isTimeStated()).isTrue();
            assertThat(mesh.runs()).isEmpty();
        }
    }

    @Test
    void shouldReserveNoMoreThanTheLimitWhenBodiesComeAndGo() {
        BodyMemoryBudget budget = BodyMemoryBudget.of(10);

        assertThat(budget.tryReserve(6)).isTrue();
        assertThat(budget.tryReserve(5)).isFalse();
        assertThat(budget.reservedBytes()).isEqualTo(6);
        budget.release(6);
        assertThat(budget.tryReserve(10)).isTrue();
    }

    @Test
    void shouldStateATimeToComeBackWhenTheTargetsFailureHasNone() {
        LocalReply last = LocalReply.of(LocalReply.Status.FAILED, Duration.ofMillis(1_200));
        Response failure = LocalReplies.targetFailure(Response.text(500, "text/plain", "broken"), last);

        assertThat(HeaderField.find(failure.headers(), ProxyHeaders.RETRY_AFTER))
                .isEqualTo(Optional.of("2"));
        assertThat(HeaderField.find(failure.headers(), ProxyHeaders.OUTCOME)).isEqualTo(Optional.of("ran"));
    }

    @Test
    void shouldRefuseWhenAnotherServiceIsMeant() throws Exception {
        try (FakeMesh mesh =
                new FakeMesh(_ -> FaultRelay.Verdict.PASS, _ -> FaultRelay.Verdict.PASS, "other", 1_000_000)) {
            Call call = new Call("/lookup", "strange", "order-1", Duration.ofSeconds(30), Cancellation.create());
            Reply reply = mesh.sendToFirst(call).orElseThrow();

            assertThat(reply.outcome()).isEqualTo(Optional.of(RequestOutcome.NOT_RUN));
            assertThat(mesh.runs()).isEmpty();
        }
    }
}
