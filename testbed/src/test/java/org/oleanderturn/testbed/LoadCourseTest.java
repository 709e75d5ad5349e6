package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class LoadCourseTest {
    private static final long PATIENCE_MILLISECONDS = 1_000;
    private static final LoadAttempt BROKEN = new LoadAttempt.Broken("reset", true);
    private static final LoadAttempt NOT_SENT = new LoadAttempt.NotSent("refused");

    @Test
    void shouldSendLookupAgainWhenItWasNotSent() {
        LoadStep step = course(LoadKind.LOOKUP).next(NOT_SENT, 0);

        assertThat(step).isInstanceOf(LoadStep.Again.class);
    }

    @Test
    void shouldCountLookupAsLostWhenItsAnswerBreaks() {
        assertThat(course(LoadKind.LOOKUP).next(BROKEN, 0)).isEqualTo(new LoadStep.End(LoadOutcome.LOST));
        assertThat(course(LoadKind.DOWNLOAD).next(BROKEN, 0)).isEqualTo(new LoadStep.End(LoadOutcome.LOST));
    }

    @Test
    void shouldComeBackWhenRefusalSays() {
        assertThat(course(LoadKind.BOOKING).next(whole(503, "not-run", 400), 0)).isEqualTo(new LoadStep.Again(400));
    }

    @Test
    void shouldEndAsRefusedWhenNoSendingCanHaveRun() {
        LoadCourse course = course(LoadKind.BOOKING);

        assertThat(course.next(NOT_SENT, 0)).isInstanceOf(LoadStep.Again.class);
        assertThat(course.next(whole(503, "not-run", 400), PATIENCE_MILLISECONDS))
                .isEqualTo(new LoadStep.End(LoadOutcome.REFUSED_NOT_RUN));
    }

    @Test
    void shouldEndAsUnknownWhenAnEarlierSendingMayHaveRun() {
        LoadCourse course = course(LoadKind.BOOKING);

        assertThat(course.next(BROKEN, 0)).isInstanceOf(LoadStep.Again.class);
        assertThat(course.next(whole(503, "not-run", 400), PATIENCE_MILLISECONDS))
                .isEqualTo(new LoadStep.End(LoadOutcome.UNKNOWN));
    }

    @Test
    void shouldEndAsUnexpectedWhenAnswerDoesNotSayWhatBecameOfIt() {
        LoadAttempt silent =
                new LoadAttempt.Whole(500, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), 0);

        assertThat(course(LoadKind.LOOKUP).next(silent, 0)).isEqualTo(new LoadStep.End(LoadOutcome.UNEXPECTED));
        assertThat(course(LoadKind.BOOKING).next(whole(422, "not-run", 1), 0))
                .isEqualTo(new LoadStep.End(LoadOutcome.UNEXPECTED));
    }

    private static LoadCourse course(LoadKind kind) {
        return LoadCourse.of(kind, PATIENCE_MILLISECONDS);
    }

    private static LoadAttempt whole(int status, String outcome, long retryAfterMilliseconds) {
        return new LoadAttempt.Whole(
                status,
                Optional.of(outcome),
                Optional.empty(),
                Optional.of(retryAfterMilliseconds),
                Optional.empty(),
                0);
    }
}
