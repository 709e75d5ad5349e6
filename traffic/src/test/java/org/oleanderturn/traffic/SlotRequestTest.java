package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class SlotRequestTest {
    private static final Duration TARGET_LATENCY = Duration.ofMillis(500);
    private static final Duration LONG_WAIT = Duration.ofSeconds(2);

    @Test
    void shouldAskForAsLongAgainWhenTheRunIsShort() {
        assertThat(cautiousRun(Duration.ofMillis(100))).isEqualTo(Duration.ofMillis(200));
    }

    @Test
    void shouldAskForHalfOfWhatIsLeftWhenTheRunIsLong() {
        assertThat(cautiousRun(Duration.ofMillis(300))).isEqualTo(Duration.ofMillis(400));
    }

    @Test
    void shouldBeInTimeOnArrivalHoweverSlowTheTargetIs() {
        for (int run = 1; run < TARGET_LATENCY.toMillis(); run++) {
            assertThat(cautiousRun(Duration.ofMillis(run))).isLessThan(TARGET_LATENCY);
        }
    }

    @Test
    void shouldAskForTheRunAloneWhenItTakesLongerThanTheTargetLatency() {
        Duration run = Duration.ofMillis(800);
        assertThat(cautiousRun(run)).isEqualTo(run);
    }

    private static Duration cautiousRun(Duration expectedRun) {
        return SlotRequest.within(TARGET_LATENCY, 1, expectedRun, TARGET_LATENCY, LONG_WAIT)
                .cautiousRun();
    }
}
