package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ReturnScheduleTest {
    private static final Duration ESTIMATE = Duration.ofMillis(40);
    private static final long ONE = Duration.ofMillis(2).toNanos();

    @Test
    void shouldServeReturningCallersAtHalfTheRateWhenManyAreRefusedAtOnce() {
        ReturnSchedule schedule = ReturnSchedule.of(0);
        for (int caller = 1; caller <= 100; caller++) {
            assertThat(schedule.next(0, ESTIMATE, ONE)).isEqualTo(ESTIMATE.plusNanos(2 * ONE * caller));
        }
    }

    @Test
    void shouldStartAnewWhenTheKeptPlacesHavePassed() {
        ReturnSchedule schedule = ReturnSchedule.of(0);
        schedule.next(0, ESTIMATE, ONE);
        long later = Duration.ofSeconds(1).toNanos();
        assertThat(schedule.next(later, ESTIMATE, ONE)).isEqualTo(ESTIMATE.plusNanos(2 * ONE));
    }

    @Test
    void shouldSendNobodyAwayForLongerThanTenSeconds() {
        ReturnSchedule schedule = ReturnSchedule.of(0);
        for (int caller = 0; caller < 10_000; caller++) {
            assertThat(schedule.next(0, ESTIMATE, ONE))
                    .isAtMost(Duration.ofSeconds(10).plus(ESTIMATE));
        }
    }
}
