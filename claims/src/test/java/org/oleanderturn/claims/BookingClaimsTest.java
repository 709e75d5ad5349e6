package org.oleanderturn.claims;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.RateLimitedStore;

final class BookingClaimsTest {
    private static final IdempotencyKey KEY = new IdempotencyKey(ServiceName.of("bookings"), "order-1");
    private static final Digest FINGERPRINT = Digest.compute(new byte[] {1});
    private static final Digest OTHER_FINGERPRINT = Digest.compute(new byte[] {2});
    private static final RecordedAnswer ANSWER =
            RecordedAnswer.of(201, List.of(new RecordedAnswer.Header("Location", "/1")), new byte[] {3, 4});

    private final long[] clock = {0};
    private final FakeStore store = FakeStore.of(() -> clock[0]);
    private final ClaimSettings settings = ClaimSettings.defaults();
    private final BookingClaims claims = claims(1);
    private final BookingClaims otherClaims = claims(2);

    @Test
    void shouldReplayWholeAnswerWhenFinished() {
        ClaimHandle handle = grant(claims);
        assertThat(claims.start(handle)).isTrue();
        assertThat(claims.complete(handle, ANSWER)).isEqualTo(new SettleOutcome.Settled());
        var replay = (ClaimDecision.AlreadyFinished) otherClaims.claim(KEY, FINGERPRINT);
        assertThat(replay.answer().status()).isEqualTo(ANSWER.status());
        assertThat(replay.answer().headers()).isEqualTo(ANSWER.headers());
        assertThat(replay.answer().body()).isEqualTo(ANSWER.body());
    }

    @Test
    void shouldReportBookingAsRunWhenAnswerIsTooLargeToRecord() {
        ClaimHandle handle = grant(claims);
        assertThat(claims.start(handle)).isTrue();
        var large = RecordedAnswer.of(201, List.of(), new byte[RecordedAnswer.MAXIMUM_BYTES + 1]);
        assertThat(claims.complete(handle, large)).isEqualTo(new SettleOutcome.Settled());
        assertThat(otherClaims.claim(KEY, FINGERPRINT)).isEqualTo(new ClaimDecision.AlreadyFinishedUnrecorded(201));
    }

    @Test
    void shouldRefuseWhenKeyWasUsedForAnotherRequest() {
        ClaimHandle handle = grant(claims);
        assertThat(otherClaims.claim(KEY, OTHER_FINGERPRINT)).isEqualTo(new ClaimDecision.KeyReused());
        assertThat(claims.release(handle)).isEqualTo(new SettleOutcome.Settled());
        assertThat(otherClaims.claim(KEY, OTHER_FINGERPRINT)).isInstanceOf(ClaimDecision.Granted.class);
    }

    @Test
    void shouldKeepKeysApartWhenServicesDiffer() {
        grant(claims);
        IdempotencyKey other = new IdempotencyKey(ServiceName.of("visits"), KEY.text());
        assertThat(otherClaims.claim(other, FINGERPRINT)).isInstanceOf(ClaimDecision.Granted.class);
    }

    @Test
    void shouldReportUnknownOutcomeWhenAnotherAttemptHoldsKey() {
        grant(claims);
        assertThat(otherClaims.claim(KEY, FINGERPRINT))
                .isEqualTo(new ClaimDecision.InProgressOrUnknown(Optional.of(settings.retryAfter())));
        clock[0] += settings.startWithin().multipliedBy(2).toMillis();
        assertThat(otherClaims.claim(KEY, FINGERPRINT))
                .isEqualTo(new ClaimDecision.InProgressOrUnknown(Optional.empty()));
    }

    @Test
    void shouldReportNotRunWhenStoreIsUnreachable() {
        store.setDefaultFault(FakeStore.Fault.UNREACHABLE);
        assertThat(claims.claim(KEY, FINGERPRINT)).isInstanceOf(ClaimDecision.NotRun.class);
        assertThat(claims.counts().waiting()).isEqualTo(0);
        store.setDefaultFault(FakeStore.Fault.NONE);
        grant(otherClaims);
    }

    @Test
    void shouldReturnLongerRetryAfterWhenStoreBudgetIsExhaustedForLonger() {
        RateLimitedStore budgeted = RateLimitedStore.of(store, 1, 2, () -> 0);
        BookingClaims rateLimitedClaims = BookingClaims.of(budgeted, settings, () -> clock[0], new Random(3));
        grant(rateLimitedClaims);
        var notRun = (ClaimDecision.NotRun) rateLimitedClaims.claim(KEY, FINGERPRINT);
        assertThat(notRun.retryAfter()).isEqualTo(settings.retryAfter());
        for (int lease = 0; lease < 5; lease++) {
            var _ = budgeted.keepAlive(LeaseId.of(1));
        }
        assertThat(((ClaimDecision.NotRun) rateLimitedClaims.claim(KEY, FINGERPRINT)).retryAfter())
                .isEqualTo(Duration.ofSeconds(6));
    }

    @Test
    void shouldSettleOnceWhenHandleIsUsedAgain() {
        ClaimHandle handle = grant(claims);
        assertThat(claims.complete(handle, ANSWER)).isEqualTo(new SettleOutcome.AlreadySettled());
        assertThat(claims.release(handle)).isEqualTo(new SettleOutcome.Settled());
        assertThat(claims.release(handle)).isEqualTo(new SettleOutcome.AlreadySettled());
        assertThat(claims.start(handle)).isFalse();
        assertThat(claims.complete(handle, ANSWER)).isEqualTo(new SettleOutcome.AlreadySettled());
    }

    @Test
    void shouldNotReleaseClaimOfAnotherAttemptWhenStaleHandleIsReleased() {
        ClaimHandle stale = grant(claims);
        ClaimHandle copy = ClaimHandle.of(stale.key(), stale.record(), stale.revision(), Long.MAX_VALUE);
        assertThat(claims.release(stale)).isEqualTo(new SettleOutcome.Settled());
        grant(otherClaims);
        assertThat(claims.start(copy)).isTrue();
        assertThat(claims.release(copy)).isEqualTo(new SettleOutcome.Superseded());
        assertThat(claims.claim(KEY, FINGERPRINT)).isInstanceOf(ClaimDecision.InProgressOrUnknown.class);
    }

    @Test
    void shouldKeepResultWhenStaleHandleIsReleased() {
        ClaimHandle handle = grant(claims);
        ClaimHandle stale = ClaimHandle.of(handle.key(), handle.record(), handle.revision(), Long.MAX_VALUE);
        assertThat(claims.start(handle)).isTrue();
        assertThat(claims.complete(handle, ANSWER)).isEqualTo(new SettleOutcome.Settled());
        assertThat(claims.release(stale)).isEqualTo(new SettleOutcome.Superseded());
        assertThat(otherClaims.claim(KEY, FINGERPRINT)).isInstanceOf(ClaimDecision.AlreadyFinished.class);
    }

    @Test
    void shouldLeaveNothingPendingWhenAnswerToLeaseGrantIsLost() {
        store.scriptFaults(FakeStore.Fault.ANSWER_LOST);
        assertThat(claims.claim(KEY, FINGERPRINT)).isInstanceOf(ClaimDecision.NotRun.class);
        assertThat(claims.counts().waiting()).isEqualTo(0);
        assertThat(store.contents()).isEmpty();
    }

    @Test
    void shouldRetainKeyUntilRetentionEndsWhenLeaseIsShared() {
        IdempotencyKey earlier = new IdempotencyKey(ServiceName.of("bookings"), "order-0");
        assertThat(claims.claim(earlier, FINGERPRINT)).isInstanceOf(ClaimDecision.Granted.class);
        clock[0] += RetentionLease.REUSE_PERIOD.minusMillis(1).toMillis();
        grant(claims);
        clock[0] += settings.retention().toMillis();
        assertThat(otherClaims.claim(KEY, FINGERPRINT)).isInstanceOf(ClaimDecision.InProgressOrUnknown.class);
        clock[0] += RetentionLease.REUSE_PERIOD.toMillis();
        assertThat(otherClaims.claim(KEY, FINGERPRINT)).isInstanceOf(ClaimDecision.Granted.class);
    }

    @Test
    void shouldRetainKeyUntilRetentionEndsWhenReusePeriodOfLeaseHasPassed() {
        grant(claims);
        clock[0] += RetentionLease.REUSE_PERIOD.toMillis();
        IdempotencyKey later = new IdempotencyKey(ServiceName.of("bookings"), "order-2");
        assertThat(claims.claim(later, FINGERPRINT)).isInstanceOf(ClaimDecision.Granted.class);
        clock[0] += settings.retention().toMillis();
        assertThat(otherClaims.claim(later, FINGERPRINT)).isInstanceOf(ClaimDecision.InProgressOrUnknown.class);
    }

    @Test
    void shouldNotStartWhenFrozenPastRetention() {
        ClaimHandle handle = grant(claims);
        clock[0] += settings.retention().plus(RetentionLease.REUSE_PERIOD).toMillis();
        ClaimHandle newHandle = grant(otherClaims);
        assertThat(claims.start(handle)).isFalse();
        assertThat(claims.release(handle)).isEqualTo(new SettleOutcome.Superseded());
        assertThat(otherClaims.start(newHandle)).isTrue();
    }

    @Test
    void shouldClaimUnderNewLeaseWhenPreviousLeaseEnded() {
        grant(claims);
        store.restore(Map.of());
        var _ = store.revokeLease(LeaseId.of(1));
        grant(claims);
    }

    @Test
    void shouldRetryWhenResultCouldNotBeRecorded() {
        ClaimHandle handle = grant(claims);
        assertThat(claims.start(handle)).isTrue();
        store.setDefaultFault(FakeStore.Fault.UNREACHABLE);
        assertThat(claims.complete(handle, ANSWER)).isInstanceOf(SettleOutcome.Pending.class);
        assertThat(claims.retryPendingSettlements()).isEqualTo(1);
        store.setDefaultFault(FakeStore.Fault.NONE);
        assertThat(claims.retryPendingSettlements()).isEqualTo(0);
        assertThat(otherClaims.claim(KEY, FINGERPRINT)).isInstanceOf(ClaimDecision.AlreadyFinished.class);
    }

    @Test
    void shouldRefuseClaimsWhenTooManySettlementsArePending() {
        store.setDefaultFault(FakeStore.Fault.NONE);
        grant(claims);
        store.setDefaultFault(FakeStore.Fault.REQUEST_LOST);
        for (int lost = 0; lost < PendingSettlements.CAPACITY; lost++) {
            IdempotencyKey key = new IdempotencyKey(ServiceName.of("bookings"), "lost-" + lost);
            assertThat(claims.claim(key, FINGERPRINT)).isInstanceOf(ClaimDecision.NotRun.class);
        }
        store.setDefaultFault(FakeStore.Fault.NONE);
        assertThat(claims.claim(KEY, FINGERPRINT))
                .isEqualTo(new ClaimDecision.NotRun(new ClaimDecision.Reason.Saturated(), Duration.ofSeconds(2)));
        assertThat(claims.retryPendingSettlements()).isEqualTo(0);
    }

    private BookingClaims claims(long seed) {
        return BookingClaims.of(store, settings, () -> clock[0], new Random(seed));
    }

    private static ClaimHandle grant(BookingClaims claims) {
        return ((ClaimDecision.Granted) claims.claim(KEY, FINGERPRINT)).handle();
    }
}
