package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.Response;

final class MeshEntryTest {
    private final FakeFleet fleet = new FakeFleet();

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void shouldDeliverTheTargetsAnswerWhole() throws IOException {
        fleet.guard(FakeFleet.ran(200, "whole"));
        Response answer = ask(RequestKind.LOOKUP, 2);
        assertThat(answer.status()).isEqualTo(200);
        assertThat(text(answer)).isEqualTo("whole");
    }

    @Test
    void shouldAskAnotherGuardWhenTheFirstDidNotRunIt() throws IOException {
        fleet.guard(FakeFleet.notRun()).guard(FakeFleet.ran(200, "other"));
        assertThat(text(ask(RequestKind.SINGLE, 1))).isEqualTo("other");
    }

    @Test
    void shouldNotSendASingleRequestAgainWhenItMayHaveRun() throws IOException {
        fleet.guard(FakeFleet.unknown()).guard(FakeFleet.ran(200, "twice"));
        assertThat(ask(RequestKind.SINGLE, 3).status()).isEqualTo(502);
        assertThat(fleet.asked(1)).isEqualTo(0);
    }

    @Test
    void shouldSendALookupAgainWhenItsAnswerIsLost() throws IOException {
        fleet.guard(FakeFleet.unknown()).guard(FakeFleet.ran(200, "again"));
        assertThat(text(ask(RequestKind.LOOKUP, 2))).isEqualTo("again");
    }

    @Test
    void shouldReachNoMoreTargetsThanThePolicyAllows() throws IOException {
        fleet.guard(FakeFleet.unknown()).guard(FakeFleet.unknown()).guard(FakeFleet.ran(200, "third"));
        assertThat(ask(RequestKind.LOOKUP, 2).status()).isEqualTo(502);
        assertThat(fleet.asked(2)).isEqualTo(0);
    }

    @Test
    void shouldSayNotRunAndWhenToComeBackWhenNoGuardRanIt() throws IOException {
        fleet.guard(FakeFleet.notRun()).guard(FakeFleet.notRun());
        Response answer = ask(RequestKind.SINGLE, 2);
        assertThat(answer.status()).isEqualTo(503);
        double seconds = Double.parseDouble(
                HeaderField.find(answer.headers(), "Retry-After").orElseThrow());
        assertThat(seconds).isGreaterThan(0.0);
        assertThat(seconds).isLessThan(1.0);
    }

    @Test
    void shouldPromiseNothingWhenAnEarlierAttemptMayHaveRun() throws IOException {
        fleet.guard(FakeFleet.unknown()).guard(FakeFleet.notRun());
        assertThat(ask(RequestKind.LOOKUP, 2).status()).isEqualTo(502);
    }

    @Test
    void shouldPassATargetsOwnFailureOn() throws IOException {
        fleet.guard(FakeFleet.ran(500, "broken"));
        Response answer = ask(RequestKind.SINGLE, 2);
        assertThat(answer.status()).isEqualTo(500);
        assertThat(text(answer)).isEqualTo("broken");
    }

    @Test
    void shouldAnswerAtTheDeadlineWhenTheGuardIsSilent() throws Exception {
        CountDownLatch silence = new CountDownLatch(1);
        fleet.guard(_ -> {
            await(silence);
            return GuardAnswers.of(FakeFleet.ran(200, "late"), FakeFleet.IDLE);
        });
        MeshEntry entry = fleet.entry(RequestKind.LOOKUP, 1, new FakeDialect(Optional.of(Duration.ofMillis(100))));
        assertThat(entry.handle(FakeRequest.of("/a/x")).status()).isEqualTo(504);
        silence.countDown();
    }

    @Test
    void shouldGiveUpWhenTheClientGoes() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch silence = new CountDownLatch(1);
        fleet.guard(_ -> {
            arrived.countDown();
            await(silence);
            return GuardAnswers.of(FakeFleet.ran(200, "late"), FakeFleet.IDLE);
        });
        FakeRequest request = FakeRequest.of("/a/x");
        Thread client = Thread.ofVirtual().start(() -> {
            await(arrived);
            request.leave();
        });
        MeshEntry entry = fleet.entry(RequestKind.LOOKUP, 1, new FakeDialect(Optional.empty()));
        assertThat(entry.handle(request).status()).isEqualTo(504);
        client.join();
        silence.countDown();
    }

    @Test
    void shouldRefuseAnUnknownRouteOnlyWhenItIsReady() throws IOException {
        fleet.guard(FakeFleet.ran(200, "x"));
        MeshEntry entry = fleet.entry(RequestKind.LOOKUP, 1, new FakeDialect(Optional.empty()));
        assertThat(entry.handle(FakeRequest.of("/none/")).status()).isEqualTo(404);
        fleet.isReady = false;
        assertThat(entry.handle(FakeRequest.of("/none/")).status()).isEqualTo(503);
        assertThat(entry.handle(FakeRequest.of("/a/x")).status()).isEqualTo(503);
    }

    @Test
    void shouldNoteEachDecisionWithItsRequest() throws IOException {
        fleet.guard(FakeFleet.notRun()).guard(FakeFleet.ran(200, "other"));
        ask(RequestKind.LOOKUP, 2);
        assertThat(fleet.decisions.stream().map(Decision::attemptId).distinct().toList())
                .containsExactly("a1");
        assertThat(fleet.decisions.stream()
                        .map(decision -> decision.getClass().getSimpleName())
                        .toList())
                .containsExactly("Placed", "AttemptFailed", "Placed", "Answered")
                .inOrder();
    }

    private Response ask(RequestKind kind, int attempts) throws IOException {
        return fleet.entry(kind, attempts, new FakeDialect(Optional.empty())).handle(FakeRequest.of("/a/x"));
    }

    private static String text(Response answer) {
        return new String(((Response.Body.Buffered) answer.body()).bytes(), StandardCharsets.UTF_8);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
