package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.ServiceName;

final class HedgePolicyTest {
    private final FakeClock clock = new FakeClock();
    private final HedgePolicy policy = HedgePolicy.of(clock);

    private static RoutingTable.Entry entry(RequestKind kind) {
        return Fixtures.entry(kind, List.of());
    }

    private void recordOneToAHundredMilliseconds() {
        for (int milliseconds = 1; milliseconds <= 100; milliseconds++) {
            policy.recordLatency(ServiceName.of("availability"), Duration.ofMillis(milliseconds));
        }
    }

    @Test
    void shouldHedgeAfterThePercentileWhenALookupIsSlow() {
        assertThat(policy.delay(entry(RequestKind.LOOKUP), false)).isEqualTo(Optional.empty());
        clock.advance(Duration.ofSeconds(1));
        recordOneToAHundredMilliseconds();
        Duration delay = policy.delay(entry(RequestKind.LOOKUP), false).orElseThrow();
        assertThat(delay).isAtLeast(Duration.ofMillis(95));
        assertThat(delay).isAtMost(Duration.ofMillis(95 * 9 / 8));
    }

    @Test
    void shouldNotHedgeWhenTheRequestIsNoLookupOrIsSuspect() {
        recordOneToAHundredMilliseconds();
        assertThat(policy.delay(entry(RequestKind.BOOKING), false)).isEqualTo(Optional.empty());
        assertThat(policy.delay(entry(RequestKind.DOWNLOAD), false)).isEqualTo(Optional.empty());
        assertThat(policy.delay(entry(RequestKind.LOOKUP), true)).isEqualTo(Optional.empty());
    }

    @Test
    void shouldDiscardSamplesWhenTheyAreOlderThanTwoWindows() {
        recordOneToAHundredMilliseconds();
        clock.advance(Duration.ofSeconds(25));
        assertThat(policy.delay(entry(RequestKind.LOOKUP), false)).isEqualTo(Optional.empty());
    }
}
