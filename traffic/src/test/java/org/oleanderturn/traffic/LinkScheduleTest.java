package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class LinkScheduleTest {
    private static final int LARGE_BYTES = 80_000;

    /** A large response takes 100 ms of the share of this link that is for them. */
    private static final double MEGABITS_PER_SECOND = 8;

    private final AtomicLong clock = new AtomicLong();
    private final LinkSchedule link = LinkSchedule.of(MEGABITS_PER_SECOND, clock::get);

    @Test
    void shouldWriteLargeResponsesOneAfterAnother() {
        assertThat(link.reserve(LARGE_BYTES)).isEqualTo(Duration.ZERO);
        assertThat(link.reserve(LARGE_BYTES)).isEqualTo(Duration.ofMillis(100));
        assertThat(link.backlog()).isEqualTo(Duration.ofMillis(200));
    }

    @Test
    void shouldWriteSmallResponsesAtOnceWhenLargeOnesWait() {
        var _ = link.reserve(LARGE_BYTES);
        var _ = link.reserve(LARGE_BYTES);
        assertThat(link.reserve(2_000)).isEqualTo(Duration.ZERO);
    }

    @Test
    void shouldForgetTheBacklogAsTimePasses() {
        var _ = link.reserve(LARGE_BYTES);
        clock.addAndGet(Duration.ofMillis(150).toNanos());
        assertThat(link.backlog()).isEqualTo(Duration.ZERO);
        assertThat(link.reserve(LARGE_BYTES)).isEqualTo(Duration.ZERO);
    }

    @Test
    void shouldLetNothingWaitWhenTheRateIsUnknown() {
        LinkSchedule unknown = LinkSchedule.unlimited(clock::get);
        var _ = unknown.reserve(LARGE_BYTES);
        assertThat(unknown.reserve(LARGE_BYTES)).isEqualTo(Duration.ZERO);
    }
}
