package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class DurationTextTest {
    @Test
    void shouldParseTheDurationWhenItHasANumberAndAUnit() {
        assertThat(DurationText.of("1500ms").duration()).isEqualTo(Duration.ofMillis(1_500));
        assertThat(DurationText.of("2.5s").duration()).isEqualTo(Duration.ofMillis(2_500));
        assertThat(DurationText.of("0s").duration()).isEqualTo(Duration.ZERO);
        assertThat(DurationText.of("0.000000001s").duration()).isEqualTo(Duration.ofNanos(1));
    }

    @Test
    void shouldRejectTheTextWhenItIsNotADuration() {
        for (String text : List.of("", "5", "s", "-1s", "1 s", "1m", "1,5s", "1s ")) {
            assertThat(DurationText.parse(text)).isEqualTo(Optional.empty());
            assertThrows(IllegalArgumentException.class, () -> DurationText.of(text));
        }
    }
}
