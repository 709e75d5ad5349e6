package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.Response;

final class MeshEntryTest {
    /** Enough that most are not offered, so that a wrong one among them would show. */
    private static final int REFUSED_REQUESTS = 40;

    private final EntryFixture fixture = new EntryFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void shouldDeliverTheCompleteResponseWhenTheTargetRanTheRequest() throws IOException {
        fixture.addGuard(EntryFixture.ran(200, "whole"));
        Response response = send(RequestKind.LOOKUP, 2);
        assertThat(response.status()).isEqualTo(200);
        assertThat(text(response)).isEqualTo("whole");
    }

    /** Also the choice among targets that are not ready must not reach a version that is excluded. */
    @Test
    void shouldReachOnlyTargetsOfTheRolloutAndRecordTheAnswerWhenVersionsDiffer() throws IOException {
        FakeRollout rollout = new FakeRollout(NodeId.of("node-1"));
        fixture.rollouts = rollout;
        fixture.addGuard(EntryFixture.ran(200, "excluded")).addGuard(EntryFixture.ran(500, "new"));
        assertThat(send(RequestKind.SINGLE, 1).status()).isEqualTo(500);
        assertThat(fixture.requestCount(0)).isEqualTo(0);
        assertThat(rollout.records)
                .containsExactly("first", "sent node-1", "ended node-1", "bad node-1")
                .inOrder();
    }

    @Test
    void shouldCountARequestOnceWhenItIsSentAgain() throws IOException {
        FakeRollout rollout = new FakeRollout(NodeId.of("node-0"), NodeId.of("node-1"));
        fixture.rollouts = rollout;
        fixture.addGuard(EntryFixture.notRun()).addGuard(EntryFixture.ran(200, "other"));
        assertThat(text(send(RequestKind.SINGLE, 1))).isEqualTo("other");
        assertThat(rollout.records)
                .containsExactly(
                        "first", "sent node-0", "ended node-0", "again", "sent node-1", "ended node-1", "good node-1")
                .inOrder();
    }

    @Test
    void shouldTryAnotherGuardWhenTheFirstDidNotRunTheRequest() throws IOException {
        fixture.addGuard(EntryFixture.notRun()).addGuard(EntryFixture.ran(200, "other"));
        assertThat(text(send(RequestKind.SINGLE, 1))).isEqualTo("other");
    }

    @Test
    void shouldNotRetryASingleRequestWhenItMayHaveRun() throws IOException {
        fixture.addGuard(EntryFixture.unknown()).addGuard(EntryFixture.ran(200, "twice"));
        assertThat(send(RequestKind.SINGLE, 3).status()).isEqualTo(502);
        assertThat(fixture.requestCount(1)).isEqualTo(0);
    }

    @Test
    void shouldRetryALookupWhenItsResponseIsLost() throws IOException {
        fixture.addGuard(EntryFixture.unknown()).addGuard(EntryFixture.ran(200, "again"));
        assertThat(text(send(RequestKind.LOOKUP, 2))).isEqualTo("again");
    }

    @Test
    void shouldReachNoMoreTargetsThanThePolicyAllowsWhenOutcomesAreUnknown() throws IOException {
        fixture.addGuard(EntryFixture.unknown())
                .addGuard(EntryFixture.unknown())
                .addGuard(EntryFixture.ran(200, "third"));
        assertThat(send(RequestKind.LOOKUP, 2).status()).isEqualTo(502);
        assertThat(fixture.requestCount(2)).isEqualTo(0);
    }

    @Test
    void shouldSayThatTheRequestDidNotRunAndWhenToRetryWhenNoGuardRanIt() throws IOException {
        fixture.addGuard(EntryFixture.notRun()).addGuard(EntryFixture.notRun());
        Response response = send(RequestKind.SINGLE, 2);
        assertThat(response.status()).isEqualTo(503);
        double seconds = Double.parseDouble(
                HeaderField.find(response.headers(), "Retry-After").orElseThrow());
        assertThat(seconds).isGreaterThan(0.0);
        assertThat(seconds).isLessThan(1.0);
    }

    @Test
    void shouldSayAtOnceThatRequestsDidNotRunWhenTargetsRefuseAllSlowly() throws IOException {
        fixture.addGuard(EntryFixture::refuseSlowly);
        Response last = sendWhileRefused();
        assertThat(fixture.requestCount(0)).isLessThan(REFUSED_REQUESTS);
        assertThat(last.status()).isEqualTo(503);
        assertThat(HeaderField.find(last.headers(), "Retry-After").isPresent()).isTrue();
    }

    @Test
    void shouldOfferARequestWhenTargetsRefusedAllSlowlyAndAReportNamesAFreeSlot() throws IOException {
        fixture.addGuard(EntryFixture::refuseSlowly);
        sendWhileRefused();
        int offered = fixture.requestCount(0);
        fixture.reportIdle(0);
        send(RequestKind.SINGLE, 1);
        assertThat(fixture.requestCount(0)).isEqualTo(offered + 1);
    }

    private Response sendWhileRefused() throws IOException {
        Response response = send(RequestKind.SINGLE, 1);
        for (int request = 1; request < REFUSED_REQUESTS; request++) {
            response = send(RequestKind.SINGLE, 1);
        }
        return response;
    }

    @Test
    void shouldNotSayThatTheRequestDidNotRunWhenAnEarlierAttemptMayHaveRun() throws IOException {
        fixture.addGuard(EntryFixture.unknown()).addGuard(EntryFixture.notRun());
        assertThat(send(RequestKind.LOOKUP, 2).status()).isEqualTo(502);
    }

    @Test
    void shouldPassOnTheResponseWhenTheTargetItselfFails() throws IOException {
        fixture.addGuard(EntryFixture.ran(500, "broken"));
        Response response = send(RequestKind.SINGLE, 2);
        assertThat(response.status()).isEqualTo(500);
        assertThat(text(response)).isEqualTo("broken");
    }

    @Test
    void shouldRespondAtTheDeadlineWhenTheGuardDoesNotReply() throws Exception {
        CountDownLatch replyAllowed = new CountDownLatch(1);
        AtomicBoolean isConnected = new AtomicBoolean();
        fixture.addGuard(_ -> {
            if (isConnected.get()) {
                await(replyAllowed);
            }
            return GuardReplyCodec.encode(EntryFixture.ran(200, "late"), EntryFixture.IDLE, Optional.empty());
        });
        // With a connection open, the request reaches the guard however slowly connections are opened.
        assertThat(send(RequestKind.LOOKUP, 1).status()).isEqualTo(200);
        isConnected.set(true);
        MeshEntry entry =
                fixture.entry(RequestKind.LOOKUP, 1, new FakeProtocolAdapter(Optional.of(Duration.ofMillis(100))));
        assertThat(entry.handle(FakeRequest.of("/a/x")).status()).isEqualTo(504);
        replyAllowed.countDown();
    }

    /** A request that is taken late in a stop would be cut, without an answer, at its end. */
    @Test
    void shouldRejectARequestThatComesTooLateWhileTheNodeStops() throws IOException {
        fixture.addGuard(EntryFixture.ran(200, "late"));
        MeshEntry entry = fixture.entry(RequestKind.SINGLE, 1, new FakeProtocolAdapter(Optional.empty()));
        long now = System.nanoTime();
        entry.stop(EntryStop.between(
                now - Duration.ofMinutes(2).toNanos(),
                now + Duration.ofMinutes(2).toNanos()));
        Response response = entry.handle(FakeRequest.of("/a/x"));
        assertThat(response.status()).isEqualTo(503);
        assertThat(HeaderField.find(response.headers(), "Retry-After").isPresent())
                .isTrue();
        assertThat(fixture.requestCount(0)).isEqualTo(0);
    }

    @Test
    void shouldGiveARequestOnlyTheTimeUntilTheNodeStops() throws IOException {
        AtomicReference<String> given = new AtomicReference<>("");
        fixture.addGuard(request -> {
            given.set(request.header(ProxyHeaders.DEADLINE).orElse(""));
            return GuardReplyCodec.encode(EntryFixture.ran(200, "in time"), EntryFixture.IDLE, Optional.empty());
        });
        MeshEntry entry = fixture.entry(RequestKind.SINGLE, 1, new FakeProtocolAdapter(Optional.empty()));
        long now = System.nanoTime();
        entry.stop(EntryStop.between(now, now + Duration.ofMillis(1_500).toNanos()));
        assertThat(entry.handle(FakeRequest.of("/a/x")).status()).isEqualTo(200);
        assertThat(Integer.parseInt(given.get())).isLessThan(1_301);
    }

    /** Guards against a wait behind other requests that is taken for a late core, or that the target may use again. */
    @Test
    void shouldGiveAPipelinedRequestOnlyTheTimeThatItsClientStillWaits() throws IOException {
        AtomicReference<String> given = new AtomicReference<>("");
        fixture.addGuard(request -> {
            given.set(request.header(ProxyHeaders.DEADLINE).orElse(""));
            return GuardReplyCodec.encode(EntryFixture.ran(200, "in time"), EntryFixture.IDLE, Optional.empty());
        });
        MeshEntry entry = fixture.entry(RequestKind.LOOKUP, 1, new FakeProtocolAdapter(Optional.empty()));
        FakeRequest request = FakeRequest.of("/a/x").afterWait(Duration.ofMillis(1_200));
        assertThat(entry.handle(request).status()).isEqualTo(200);
        assertThat(Integer.parseInt(given.get())).isLessThan(801);
    }

    @Test
    void shouldCancelTheRequestWhenTheClientDisconnects() throws Exception {
        CountDownLatch requestArrived = new CountDownLatch(1);
        CountDownLatch replyAllowed = new CountDownLatch(1);
        fixture.addGuard(_ -> {
            requestArrived.countDown();
            await(replyAllowed);
            return GuardReplyCodec.encode(EntryFixture.ran(200, "late"), EntryFixture.IDLE, Optional.empty());
        });
        FakeRequest request = FakeRequest.of("/a/x");
        Thread client = Thread.ofVirtual().start(() -> {
            await(requestArrived);
            request.disconnect();
        });
        MeshEntry entry = fixture.entry(RequestKind.LOOKUP, 1, new FakeProtocolAdapter(Optional.empty()));
        assertThat(entry.handle(request).status()).isEqualTo(504);
        client.join();
        replyAllowed.countDown();
    }

    @Test
    void shouldRespondNotFoundToAnUnknownRouteOnlyWhenReady() throws IOException {
        fixture.addGuard(EntryFixture.ran(200, "x"));
        MeshEntry entry = fixture.entry(RequestKind.LOOKUP, 1, new FakeProtocolAdapter(Optional.empty()));
        assertThat(entry.handle(FakeRequest.of("/none/")).status()).isEqualTo(404);
        fixture.isReady = false;
        assertThat(entry.handle(FakeRequest.of("/none/")).status()).isEqualTo(503);
        assertThat(entry.handle(FakeRequest.of("/a/x")).status()).isEqualTo(503);
    }

    @Test
    void shouldSayThatTheRequestDidNotRunWhenItsRouteMayStandInAVersionThatIsNotHeld() throws IOException {
        fixture.addGuard(EntryFixture.ran(200, "x"));
        MeshEntry entry = fixture.entry(RequestKind.LOOKUP, 1, new FakeProtocolAdapter(Optional.empty()));
        fixture.versionStatus = new VersionStatus.Behind(ConfigurationVersion.of(2));
        assertNotRun(entry.handle(FakeRequest.of("/none/")), "CONFIGURATION_BEHIND");
        fixture.versionStatus = new VersionStatus.Unconfirmed();
        assertNotRun(entry.handle(FakeRequest.of("/none/")), "CONFIGURATION_UNCONFIRMED");
        assertThat(entry.handle(FakeRequest.of("/a/x")).status()).isEqualTo(200);
    }

    private static void assertNotRun(Response response, String reason) throws IOException {
        assertThat(response.status()).isEqualTo(503);
        assertThat(text(response)).isEqualTo(reason + "\n");
        assertThat(HeaderField.find(response.headers(), "Retry-After")).isEqualTo(Optional.of("0.400"));
    }

    @Test
    void shouldLogEachDecisionWithItsAttemptIdWhenARequestIsRetried() throws IOException {
        fixture.addGuard(EntryFixture.notRun()).addGuard(EntryFixture.ran(200, "other"));
        send(RequestKind.LOOKUP, 2);
        assertThat(fixture.decisions.stream()
                        .map(Decision::attemptId)
                        .distinct()
                        .toList())
                .containsExactly("a1");
        assertThat(fixture.decisions.stream()
                        .map(decision -> decision.getClass().getSimpleName())
                        .toList())
                .containsExactly("Placed", "AttemptFailed", "Placed", "Answered")
                .inOrder();
    }

    /** Guards against a second attempt for a key that a newer version removed during the first one. */
    @Test
    void shouldMakeNoSecondAttemptWhenTheKeyIsRemovedDuringTheFirst() throws IOException {
        Response refused = sendWithKey(EntryFixture.notRun(), () -> fixture.declare(Map.of("first", "key-2")));
        assertThat(refused.status()).isEqualTo(401);
        assertThat(text(refused)).isEqualTo("KEY_REMOVED\n");
        Decision.Answered answered = (Decision.Answered) fixture.decisions.getLast();
        assertThat(answered.version()).isEqualTo(ConfigurationVersion.of(2));
    }

    @Test
    void shouldNotSayThatARequestDidNotRunWhenItMayHaveAndTheKeyIsRemoved() throws IOException {
        Response refused = sendWithKey(EntryFixture.unknown(), () -> fixture.declare(Map.of("first", "key-2")));
        assertThat(refused.status()).isEqualTo(502);
    }

    /** The entry forbade requests by a version that was not the newest, whose key the newest had again. */
    @Test
    void shouldNotForbidARequestByAVersionThatIsNotTheNewestWhenItsKeyIsRemoved() throws IOException {
        assertNotRun(
                sendWithKey(EntryFixture.notRun(), () -> {
                    fixture.declare(Map.of("first", "key-2"));
                    fixture.versionStatus = new VersionStatus.Behind(ConfigurationVersion.of(3));
                }),
                "CONFIGURATION_BEHIND");
    }

    /** A request ran on for the organisation that no longer had its key. */
    @Test
    void shouldMakeNoSecondAttemptWhenTheKeyIsAnotherOrganisationsSince() throws IOException {
        assertNotRun(
                sendWithKey(EntryFixture.notRun(), () -> fixture.declare(Map.of("first", "key-2", "second", "key-1"))),
                "KEY_MOVED");
    }

    /** A node that is cut off and fails closed made further attempts with keys that it could not confirm. */
    @Test
    void shouldMakeNoSecondAttemptWhenTheKeyCanNoLongerBeConfirmed() throws IOException {
        AtomicReference<Duration> age = new AtomicReference<>(Duration.ZERO);
        fixture.authenticator = Authenticator.failClosed(Duration.ofSeconds(5), () -> Optional.of(age.get()));
        assertNotRun(sendWithKey(EntryFixture.notRun(), () -> age.set(Duration.ofSeconds(6))), "KEY_UNCONFIRMED");
    }

    @Test
    void shouldMakeNoSecondAttemptWhenAGuardKnowsThatTheKeyIsRemoved() throws IOException {
        GuardReply removed = new GuardReply.NotRun("KEY_REMOVED", false, Duration.ZERO);
        assertNotRun(sendWithKey(removed, () -> {}), "CONFIGURATION_BEHIND");
    }

    @Test
    void shouldForbidTheRequestWhenAGuardAndTheNewestVersionSayThatTheKeyIsRemoved() throws IOException {
        GuardReply removed = new GuardReply.NotRun("KEY_REMOVED", false, Duration.ZERO);
        Response refused = sendWithKey(removed, () -> fixture.declare(Map.of("first", "key-2")));
        assertThat(refused.status()).isEqualTo(401);
    }

    /** Sends a request of organisation "first" to a guard that does something before it replies, and to no other one. */
    private Response sendWithKey(GuardReply reply, Runnable atFirstGuard) throws IOException {
        AtomicReference<Optional<String>> checkedKey = new AtomicReference<>(Optional.empty());
        fixture.addGuard(request -> {
                    checkedKey.set(request.header(ProxyHeaders.CHECKED_KEY));
                    atFirstGuard.run();
                    return GuardReplyCodec.encode(reply, EntryFixture.IDLE, Optional.empty());
                })
                .addGuard(EntryFixture.ran(200, "second"));
        fixture.declare(Map.of("first", "key-1"));
        MeshEntry entry = fixture.entry(RequestKind.LOOKUP, 2, new FakeProtocolAdapter(Optional.empty()));
        // A client can't state what an entry checked.
        Response response = entry.handle(new FakeRequest(
                "/a/x",
                List.of(
                        HeaderField.of("Id", "a1"),
                        HeaderField.of("Key", "key-1"),
                        HeaderField.of(ProxyHeaders.CHECKED_KEY, "9:0000000000000000"))));
        assertThat(checkedKey.get())
                .isEqualTo(Optional.of("1:" + KeyDigest.ofKey("key-1").prefix()));
        assertThat(fixture.requestCount(1)).isEqualTo(0);
        return response;
    }

    /** Without organisations, nodes send each other the same bytes as before. */
    @Test
    void shouldTellTheGuardOfNoKeyWhenNoOrganisationsAreDeclared() throws IOException {
        AtomicReference<Optional<String>> checkedKey = new AtomicReference<>(Optional.of("unset"));
        fixture.addGuard(request -> {
            checkedKey.set(request.header(ProxyHeaders.CHECKED_KEY));
            return GuardReplyCodec.encode(EntryFixture.ran(200, "x"), EntryFixture.IDLE, Optional.empty());
        });
        MeshEntry entry = fixture.entry(RequestKind.LOOKUP, 1, new FakeProtocolAdapter(Optional.empty()));
        entry.handle(new FakeRequest("/a/x", List.of(HeaderField.of("Id", "a1"), HeaderField.of("Key", "key-1"))));
        assertThat(checkedKey.get()).isEqualTo(Optional.empty());
    }

    private Response send(RequestKind kind, int attempts) throws IOException {
        return fixture.entry(kind, attempts, new FakeProtocolAdapter(Optional.empty()))
                .handle(FakeRequest.of("/a/x"));
    }

    private static String text(Response response) {
        return new String(((Response.Body.Buffered) response.body()).bytes(), StandardCharsets.UTF_8);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
