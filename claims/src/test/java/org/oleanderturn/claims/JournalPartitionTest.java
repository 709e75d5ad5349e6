package org.oleanderturn.claims;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoreLimits;
import org.oleanderturn.store.StoredValue;

final class JournalPartitionTest {
    private static final Duration RETENTION = Duration.ofHours(1);
    private static final int FOLLOWERS = 5;

    private final long[] clock = {RETENTION.toMillis()};
    private final FakeStore store = FakeStore.of(() -> clock[0]);
    private final JournalPartition partition = partition();

    @Test
    void shouldWriteGroupInOneSwapWhenWritesArriveTogether() throws Exception {
        List<Future<Either<StoreFailure, Long>>> followers = new ArrayList<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            store.runBeforeCall(() -> {});
            store.runBeforeCall(() -> {
                for (int number = 0; number < FOLLOWERS; number++) {
                    IdempotencyKey key = key("follower-" + number);
                    followers.add(executor.submit(() -> partition.write(key, StoredValue.ABSENT, record("token"))));
                }
                while (partition.waiting() < FOLLOWERS) {
                    Thread.onSpinWait();
                }
            });
            assertThat(partition
                            .write(key("leader"), StoredValue.ABSENT, record("token"))
                            .isRight())
                    .isTrue();
            for (Future<Either<StoreFailure, Long>> follower : followers) {
                assertThat(follower.get().isRight()).isTrue();
            }
        }
        assertThat(store.writes()).isEqualTo(2);
    }

    @Test
    void shouldAcceptOneWriteWhenTwoProcessesWriteTheSameKey() {
        JournalPartition other = partition();
        assertThat(other.write(key("earlier"), StoredValue.ABSENT, record("other"))
                        .isRight())
                .isTrue();
        assertThat(partition
                        .write(key("order"), StoredValue.ABSENT, record("one"))
                        .isRight())
                .isTrue();
        assertThat(other.write(key("order"), StoredValue.ABSENT, record("other"))
                        .getLeft())
                .isInstanceOf(StoreFailure.Conflict.class);
        assertThat(other.read(key("order")).get().orElseThrow().record()).isEqualTo(record("one"));
    }

    @Test
    void shouldWriteWhenCachedJournalIsStale() {
        JournalPartition other = partition();
        long first =
                other.write(key("order"), StoredValue.ABSENT, record("one")).get();
        long second = partition.write(key("order"), first, record("one")).get();
        assertThat(other.write(key("order"), second, record("one")).isRight()).isTrue();
    }

    @Test
    void shouldKeepRecordOnlyUntilRetentionEndsWhenKeyIsWrittenAgain() {
        assertThat(partition
                        .write(key("order"), StoredValue.ABSENT, record("one"))
                        .isRight())
                .isTrue();
        clock[0] += RETENTION.toMillis();
        assertThat(partition()
                        .write(key("order"), StoredValue.ABSENT, record("two"))
                        .isLeft())
                .isTrue();
        clock[0] += 1;
        assertThat(partition()
                        .write(key("order"), StoredValue.ABSENT, record("two"))
                        .isRight())
                .isTrue();
    }

    @Test
    void shouldRefuseWhenJournalIsFull() {
        byte[] body = new byte[RecordedAnswer.MAXIMUM_BYTES];
        ClaimRecord large = record("one").with(new ClaimState.Finished(RecordedAnswer.of(200, List.of(), body)));
        int answersThatFit = StoreLimits.MAXIMUM_VALUE_BYTES / RecordedAnswer.MAXIMUM_BYTES;
        for (int number = 0; number < answersThatFit; number++) {
            assertThat(partition
                            .write(key("order-" + number), StoredValue.ABSENT, large)
                            .isRight())
                    .isTrue();
        }
        assertThat(partition.write(key("order"), StoredValue.ABSENT, large).getLeft())
                .isInstanceOf(StoreFailure.ValueTooLarge.class);
        assertThat(partition.read(key("order")).get().isEmpty()).isTrue();
    }

    private JournalPartition partition() {
        return new JournalPartition(store, "journal", RETENTION, () -> clock[0]);
    }

    private ClaimRecord record(String token) {
        Digest fingerprint = Digest.compute(new byte[] {1});
        return new ClaimRecord(fingerprint, ClaimToken.of(token), RETENTION.toMillis(), new ClaimState.Claimed());
    }

    private static IdempotencyKey key(String text) {
        return new IdempotencyKey(ServiceName.of("bookings"), text);
    }
}
