package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class LoadRetryPolicyTest {
    private static final long PATIENCE_MILLISECONDS = 1_000;
    private static final LoadAttempt BROKEN = new LoadAttempt.Broken("reset", true);
    private static final LoadAttempt NOT_SENT = new LoadAttempt.NotSent("refused");

    @Test
    void shouldRetryLookupWhenItWasNotSent() {
        LoadStep step = retryPolicy(LoadKind.LOOKUP).next(NOT_SENT, 0);

        assertThat(step).isInstanceOf(LoadStep.Retry.class);
    }

    @Test
    void shouldCountLookupAsLostWhenItsAnswerBreaks() {
        assertThat(retryPolicy(LoadKind.LOOKUP).next(BROKEN, 0)).isEqualTo(new LoadStep.End(LoadOutcome.LOST));
        assertThat(retryPolicy(LoadKind.DOWNLOAD).next(BROKEN, 0)).isEqualTo(new LoadStep.End(LoadOutcome.LOST));
    }

    @Test
    void shouldWaitAsLongAsRefusalAsksWhenBookingIsRefused() {
        assertThat(retryPolicy(LoadKind.BOOKING).next(complete(503, "not-run", 400), 0))
                .isEqualTo(new LoadStep.Retry(400));
    }

    @Test
    void shouldEndAsRefusedWhenNoAttemptCanHaveRun() {
        LoadRetryPolicy retryPolicy = retryPolicy(LoadKind.BOOKING);

        assertThat(retryPolicy.next(NOT_SENT, 0)).isInstanceOf(LoadStep.Retry.class);
        assertThat(retryPolicy.next(complete(503, "not-run", 400), PATIENCE_MILLISECONDS))
                .isEqualTo(new LoadStep.End(LoadOutcome.REFUSED_NOT_RUN));
    }

    @Test
    void shouldEndAsUnknownWhenAnEarlierAttemptMayHaveRun() {
        LoadRetryPolicy retryPolicy = retryPolicy(LoadKind.BOOKING);

        assertThat(retryPolicy.next(BROKEN, 0)).isInstanceOf(LoadStep.Retry.class);
        assertThat(retryPolicy.next(complete(503, "not-run", 400), PATIENCE_MILLISECONDS))
                .isEqualTo(new LoadStep.End(LoadOutcome.UNKNOWN));
    }

    @Test
    void shouldEndAsUnexpectedWhenAnswerHasNoOutcomeOrUnfitStatus() {
        LoadAttempt withoutOutcome = new LoadAttempt.Complete(
                500, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), 0);

        assertThat(retryPolicy(LoadKind.LOOKUP).next(withoutOutcome, 0))
                .isEqualTo(new LoadStep.End(LoadOutcome.UNEXPECTED));
        assertThat(retryPolicy(LoadKind.BOOKING).next(complete(422, "not-run", 1), 0))
                .isEqualTo(new LoadStep.End(LoadOutcome.UNEXPECTED));
    }

    private static LoadRetryPolicy retryPolicy(LoadKind kind) {
        return LoadRetryPolicy.of(kind, PATIENCE_MILLISECONDS);
    }

    private static LoadAttempt complete(int status, String outcome, long retryAfterMilliseconds) {
        return new LoadAttempt.Complete(
                status,
                Optional.of(outcome),
                Optional.empty(),
                Optional.of(retryAfterMilliseconds),
                Optional.empty(),
                0);
    }
}
