package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class CoreLagTest {
    private static final Duration PERIOD = Duration.ofMillis(100);

    private final AtomicLong clock = new AtomicLong(1);
    private final CoreLag lag = CoreLag.of(clock::get);

    @Test
    void shouldBeZeroWhenTheTaskIsWokenInTime() {
        lag.recordWait(PERIOD);
        pass(PERIOD);
        lag.recordWake();
        assertThat(lag.current()).isEqualTo(Duration.ZERO);
    }

    @Test
    void shouldBeTheDelayOfTheLastWakeWhenItCameLate() {
        lag.recordWait(PERIOD);
        pass(PERIOD.plusMillis(40));
        lag.recordWake();
        lag.recordWait(PERIOD);
        assertThat(lag.current()).isEqualTo(Duration.ofMillis(40));
    }

    @Test
    void shouldGrowWhileTheTaskIsOverdue() {
        lag.recordWait(PERIOD);
        pass(PERIOD.plusMillis(300));
        assertThat(lag.current()).isEqualTo(Duration.ofMillis(300));
    }

    private void pass(Duration duration) {
        clock.addAndGet(duration.toNanos());
    }
}
