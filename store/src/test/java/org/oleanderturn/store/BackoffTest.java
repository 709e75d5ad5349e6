package org.oleanderturn.store;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class BackoffTest {
    private static final long SEED = 7;

    @Test
    void shouldStayBetweenHalfTheBoundAndTheBoundWhenFailuresRise() {
        Backoff backoff = Backoff.of(Duration.ofMillis(100), Duration.ofSeconds(5), new Random(SEED));
        for (int failures = 1; failures < 80; failures++) {
            long bound = Math.min(5_000, 100L << Math.min(failures - 1, 20));
            long delay = backoff.delay(failures).toMillis();
            assertThat(delay).isAtLeast(bound / 2);
            assertThat(delay).isAtMost(bound);
        }
    }

    @Test
    void shouldRepeatDelaysWhenSeedIsTheSame() {
        Backoff one = Backoff.of(Duration.ofMillis(100), Duration.ofSeconds(5), new Random(SEED));
        Backoff other = Backoff.of(Duration.ofMillis(100), Duration.ofSeconds(5), new Random(SEED));
        assertThat(one.delay(3)).isEqualTo(other.delay(3));
    }

    @Test
    void shouldNotRetryEarlierThanAskedWhenRetryAfterIsLonger() {
        Backoff backoff = Backoff.of(Duration.ofMillis(100), Duration.ofSeconds(5), new Random(SEED));
        assertThat(backoff.delay(1, Duration.ofSeconds(9))).isAtLeast(Duration.ofSeconds(9));
    }
}
