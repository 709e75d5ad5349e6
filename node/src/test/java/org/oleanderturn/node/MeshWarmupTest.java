package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.ServiceName;

final class MeshWarmupTest {
    private static final Duration AMPLE = Duration.ofMinutes(5);
    private static final NodeSettings SETTINGS = SimulatedSettings.of(1, "node-1", 2, ServiceName.of("bookings"));

    @Test
    void shouldGetAnAnswerToEachRequestWhenTheNodeHasNoOthers() throws Exception {
        assertThat(MeshWarmup.run(SETTINGS, AMPLE, () -> false)).isEqualTo(MeshWarmup.REQUESTS);
    }

    @Test
    void shouldStopAtOnceWhenTheNodeGetsRequests() throws Exception {
        AtomicInteger checks = new AtomicInteger();
        assertThat(MeshWarmup.run(SETTINGS, AMPLE, () -> checks.incrementAndGet() > 5))
                .isEqualTo(5);
    }

    @Test
    void shouldSendNothingWhenItHasNoTime() throws Exception {
        assertThat(MeshWarmup.run(SETTINGS, Duration.ZERO, () -> false)).isEqualTo(0);
    }
}
