package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RetryAfterScheduleTest {
    private static final Duration ESTIMATE = Duration.ofMillis(40);
    private static final long NANOSECONDS_PER_ADMISSION = Duration.ofMillis(2).toNanos();

    @Test
    void shouldSpaceRetriesAtHalfTheThroughputWhenManyAreRefusedTogether() {
        RetryAfterSchedule schedule = RetryAfterSchedule.of(0);
        for (int caller = 1; caller <= 100; caller++) {
            assertThat(schedule.nextDelay(0, ESTIMATE, NANOSECONDS_PER_ADMISSION))
                    .isEqualTo(ESTIMATE.plusNanos(2 * NANOSECONDS_PER_ADMISSION * caller));
        }
    }

    @Test
    void shouldStartFromTheEstimateWhenTheAssignedTimesHavePassed() {
        RetryAfterSchedule schedule = RetryAfterSchedule.of(0);
        schedule.nextDelay(0, ESTIMATE, NANOSECONDS_PER_ADMISSION);
        long later = Duration.ofSeconds(1).toNanos();
        assertThat(schedule.nextDelay(later, ESTIMATE, NANOSECONDS_PER_ADMISSION))
                .isEqualTo(ESTIMATE.plusNanos(2 * NANOSECONDS_PER_ADMISSION));
    }

    @Test
    void shouldNotExceedTheMaximumDelayWhenManyAreRefused() {
        RetryAfterSchedule schedule = RetryAfterSchedule.of(0);
        for (int caller = 0; caller < 10_000; caller++) {
            assertThat(schedule.nextDelay(0, ESTIMATE, NANOSECONDS_PER_ADMISSION))
                    .isAtMost(Duration.ofSeconds(10).plus(ESTIMATE));
        }
    }
}
