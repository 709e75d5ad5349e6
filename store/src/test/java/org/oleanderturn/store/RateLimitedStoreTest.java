package org.oleanderturn.store;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RateLimitedStoreTest {
    private static final int CALLS_PER_SECOND = 10;
    private static final int BURST = 3;
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private final long[] nowNanoseconds = {0};
    private final FakeStore fake = FakeStore.create();
    private final RateLimitedStore store = RateLimitedStore.of(fake, CALLS_PER_SECOND, BURST, () -> nowNanoseconds[0]);

    @Test
    void shouldThrottleWithoutACallWhenTheBurstIsSpent() {
        spendBurst();
        assertThat(store.get("key")).isEqualTo(Either.left(new StoreFailure.Throttled(Duration.ofMillis(100))));
        assertThat(fake.calls()).isEqualTo(BURST);
        assertThat(store.counters().throttled()).containsEntry(StoreOperation.GET, 1L);
        assertThat(store.counters().calls()).containsEntry(StoreOperation.GET, (long) BURST);
    }

    @Test
    void shouldAdmitACallWhenTheStatedWaitIsOver() {
        spendBurst();
        nowNanoseconds[0] += 99 * NANOSECONDS_PER_MILLISECOND;
        assertThat(store.get("key").isLeft()).isTrue();
        nowNanoseconds[0] += NANOSECONDS_PER_MILLISECOND;
        assertThat(store.get("key").isRight()).isTrue();
        assertThat(store.get("key").isLeft()).isTrue();
    }

    @Test
    void shouldKeepALeaseAliveWhenTheBurstIsSpent() {
        LeaseId lease = store.grantLease(Duration.ofSeconds(5)).get();
        spendBurst();
        assertThat(store.keepAlive(lease).isRight()).isTrue();
        nowNanoseconds[0] += 100 * NANOSECONDS_PER_MILLISECOND;
        assertThat(store.get("key").isLeft()).isTrue();
    }

    @Test
    void shouldCountFailuresWhenTheStoreFails() {
        fake.scriptFaults(FakeStore.Fault.UNREACHABLE);
        assertThat(store.compareAndSwap("key", StoredValue.ABSENT, new byte[0]).isLeft())
                .isTrue();
        assertThat(store.counters().failures()).containsEntry(StoreOperation.SWAP, 1L);
        assertThat(store.counters().totalCalls()).isEqualTo(1);
    }

    private void spendBurst() {
        for (int call = 0; call < BURST; call++) {
            var _ = store.get("key");
        }
    }
}
