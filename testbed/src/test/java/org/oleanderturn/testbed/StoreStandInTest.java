package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.store.HttpStore;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoreLimits;
import org.oleanderturn.store.StoreSettings;
import org.oleanderturn.store.StoredValue;

final class StoreStandInTest {
    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);
    private static final Duration LONG_WAIT = Duration.ofSeconds(10);

    private StoreStandIn server;
    private HttpStore store;

    @BeforeEach
    void start() {
        open(StoreStandInSettings.defaults());
    }

    @AfterEach
    void stop() {
        store.close();
        server.close();
    }

    @Test
    void shouldReadWhatWasWrittenWhenKeyHasSpecialCharacters() {
        long revision = store.compareAndSwap("claims/a b+c/é", StoredValue.ABSENT, VALUE)
                .get();
        StoredValue stored = store.get("claims/a b+c/é").get().orElseThrow();
        assertThat(stored.value()).isEqualTo(VALUE);
        assertThat(stored.revision()).isEqualTo(revision);
        assertThat(store.list("claims/").get()).hasSize(1);
        assertThat(store.list("other/").get()).isEmpty();
        assertThat(store.get("absent").get()).isEmpty();
    }

    @Test
    void shouldReportConflictWhenRevisionDiffers() {
        long revision = store.compareAndSwap("key", StoredValue.ABSENT, VALUE).get();
        assertThat(store.compareAndSwap("key", StoredValue.ABSENT, VALUE))
                .isEqualTo(Either.left(new StoreFailure.Conflict(revision)));
        assertThat(store.remove("key", revision + 1)).isEqualTo(Either.left(new StoreFailure.Conflict(revision)));
        assertThat(store.remove("key", revision).isRight()).isTrue();
        assertThat(store.get("key").get()).isEmpty();
    }

    @Test
    void shouldAnswerWatchWhenKeyChanges() throws Exception {
        long revision = store.compareAndSwap("key", StoredValue.ABSENT, VALUE).get();
        CompletableFuture<Either<StoreFailure, Optional<StoredValue>>> watch =
                CompletableFuture.supplyAsync(() -> store.watch("key", revision, LONG_WAIT));
        long next = store.compareAndSwap("key", revision, VALUE).get();
        assertThat(watch.get(LONG_WAIT.toSeconds(), TimeUnit.SECONDS)
                        .get()
                        .orElseThrow()
                        .revision())
                .isEqualTo(next);
        assertThat(store.watch("key", next, Duration.ofMillis(1)).get()).isEmpty();
    }

    @Test
    void shouldRemoveKeyWhenLeaseEnds() {
        LeaseId lease = store.grantLease(Duration.ofMillis(1)).get();
        LeaseId kept = store.grantLease(LONG_WAIT).get();
        long revision = store.compareAndSwapLeased("kept", StoredValue.ABSENT, VALUE, kept)
                .get();
        assertThat(store.keepAlive(kept).isRight()).isTrue();
        while (store.keepAlive(lease).isRight()) {
            Thread.onSpinWait();
        }
        assertThat(store.compareAndSwapLeased("key", StoredValue.ABSENT, VALUE, lease))
                .isEqualTo(Either.left(new StoreFailure.LeaseEnded(lease)));
        assertThat(store.get("kept").get().orElseThrow().revision()).isEqualTo(revision);
        assertThat(store.revokeLease(kept).isRight()).isTrue();
        assertThat(store.get("kept").get()).isEmpty();
    }

    @Test
    void shouldRefuseWhenValueIsTooLarge() {
        assertThat(store.compareAndSwap("key", StoredValue.ABSENT, new byte[StoreLimits.MAXIMUM_VALUE_BYTES])
                        .isRight())
                .isTrue();
        assertThat(store.compareAndSwap("large", StoredValue.ABSENT, new byte[StoreLimits.MAXIMUM_VALUE_BYTES + 1])
                        .getLeft())
                .isInstanceOf(StoreFailure.ValueTooLarge.class);
    }

    @Test
    void shouldReportUndeterminedWhenAnswerIsLost() {
        server.setFaults(StoreStandInFaults.losingAnswers());
        assertThat(store.compareAndSwap("key", StoredValue.ABSENT, VALUE).getLeft())
                .isInstanceOf(StoreFailure.Undetermined.class);
        server.setFaults(StoreStandInFaults.none());
        assertThat(store.get("key").get()).isPresent();
        assertThat(server.counts().calls()).containsEntry("swap", 1L);
    }

    @Test
    void shouldReportUndeterminedWhenAnswerTimesOut() {
        HttpStore storeWithShortTimeout =
                HttpStore.of(StoreSettings.of(server.address()).withTimeouts(LONG_WAIT, Duration.ofMillis(20)));
        server.setFaults(StoreStandInFaults.delay(200));
        assertThat(storeWithShortTimeout
                        .compareAndSwap("key", StoredValue.ABSENT, VALUE)
                        .getLeft())
                .isInstanceOf(StoreFailure.Undetermined.class);
        storeWithShortTimeout.close();
    }

    @Test
    void shouldReportUnreachableWhenStoreIsDown() {
        assertThat(store.get("key").isRight()).isTrue();
        server.setFaults(StoreStandInFaults.down(60_000));
        List<Either<StoreFailure, Long>> results = List.of(
                store.compareAndSwap("key", StoredValue.ABSENT, VALUE),
                store.compareAndSwap("key", StoredValue.ABSENT, VALUE),
                store.compareAndSwap("key", StoredValue.ABSENT, VALUE));
        assertThat(results.getLast().getLeft()).isInstanceOf(StoreFailure.Unreachable.class);
    }

    @Test
    void shouldDropAllIdleConnectionsWhenOneIsBroken() {
        server.setFaults(StoreStandInFaults.delay(100));
        List<CompletableFuture<Boolean>> reads = IntStream.range(0, 4)
                .mapToObj(number ->
                        CompletableFuture.supplyAsync(() -> store.get("key").isRight(), Thread::startVirtualThread))
                .toList();
        assertThat(reads.stream().allMatch(CompletableFuture::join)).isTrue();
        server.setFaults(StoreStandInFaults.down(60_000));
        var _ = store.compareAndSwap("key", StoredValue.ABSENT, VALUE);
        assertThat(store.compareAndSwap("key", StoredValue.ABSENT, VALUE).getLeft())
                .isInstanceOf(StoreFailure.Unreachable.class);
    }

    @Test
    void shouldServeAgainWhenOutageIsOver() {
        server.setFaults(StoreStandInFaults.down(20));
        while (store.get("key").isLeft()) {
            Thread.onSpinWait();
        }
        assertThat(store.compareAndSwap("key", StoredValue.ABSENT, VALUE).isRight())
                .isTrue();
    }

    @Test
    void shouldThrottleWhenRateIsExceeded() {
        stop();
        open(StoreStandInSettings.defaults().withCallsPerSecond(1));
        Either<StoreFailure, Optional<StoredValue>> result = store.get("key");
        while (result.isRight()) {
            result = store.get("key");
        }
        assertThat(result.getLeft()).isEqualTo(new StoreFailure.Throttled(Duration.ofSeconds(1)));
    }

    @Test
    void shouldApplyFaultsWhenSetByAdminPath() throws Exception {
        assertThat(admin("/admin/faults", "{\"loseAnswers\":true}")).isEqualTo(200);
        assertThat(store.compareAndSwap("key", StoredValue.ABSENT, VALUE).getLeft())
                .isInstanceOf(StoreFailure.Undetermined.class);
        assertThat(admin("/admin/faults", "{\"downMilliseconds\":60000}")).isEqualTo(200);
        while (store.get("key").isRight() || !(store.get("key").getLeft() instanceof StoreFailure.Unreachable)) {
            Thread.onSpinWait();
        }
    }

    @Test
    void shouldRefuseFaultsWhenBodyIsMalformed() throws Exception {
        assertThat(admin("/admin/faults", "{\"unknown\":1}")).isEqualTo(400);
        assertThat(store.get("key").isRight()).isTrue();
    }

    private int admin(String path, String body) throws Exception {
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        }
    }

    private void open(StoreStandInSettings settings) {
        server = StoreStandIn.start(0, settings);
        store = HttpStore.of(StoreSettings.of(server.address()));
    }
}
