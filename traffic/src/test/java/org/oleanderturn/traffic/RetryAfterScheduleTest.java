package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RetryAfterScheduleTest {
    private static final Duration ESTIMATE = Duration.ofMillis(40);
    private static final long ONE = Duration.ofMillis(2).toNanos();

    @Test
    void shouldServeReturningCallersAtHalfTheRateWhenManyAreRefusedAtOnce() {
        RetryAfterSchedule schedule = RetryAfterSchedule.of(0);
        for (int caller = 1; caller <= 100; caller++) {
            assertThat(schedule.nextDelay(0, ESTIMATE, ONE)).isEqualTo(ESTIMATE.plusNanos(2 * ONE * caller));
        }
    }

    @Test
    void shouldStartAnewWhenTheKeptPlacesHavePassed() {
        RetryAfterSchedule schedule = RetryAfterSchedule.of(0);
        schedule.nextDelay(0, ESTIMATE, ONE);
        long later = Duration.ofSeconds(1).toNanos();
        assertThat(schedule.nextDelay(later, ESTIMATE, ONE)).isEqualTo(ESTIMATE.plusNanos(2 * ONE));
    }

    @Test
    void shouldSendNobodyAwayForLongerThanTenSeconds() {
        RetryAfterSchedule schedule = RetryAfterSchedule.of(0);
        for (int caller = 0; caller < 10_000; caller++) {
            assertThat(schedule.nextDelay(0, ESTIMATE, ONE))
                    .isAtMost(Duration.ofSeconds(10).plus(ESTIMATE));
        }
    }
}
