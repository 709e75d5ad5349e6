package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class EntryStopTest {
    private static final long BEGIN = Duration.ofMinutes(1).toNanos();
    private static final long END = BEGIN + Duration.ofMillis(5_500).toNanos();

    private final EntryStop stop = EntryStop.between(BEGIN, END);

    @Test
    void shouldTakeRequestsWhileClientsTurnAway() {
        assertThat(stop.isTooLate(BEGIN + Duration.ofMillis(2_600).toNanos())).isFalse();
        assertThat(stop.isTooLate(BEGIN + Duration.ofMillis(3_001).toNanos())).isTrue();
    }

    @Test
    void shouldEndEveryRequestBeforeTheProcess() {
        long soon = BEGIN + Duration.ofSeconds(2).toNanos();
        assertThat(stop.limit(soon)).isEqualTo(soon);
        assertThat(stop.limit(END + 1)).isLessThan(END);
    }

    @Test
    void shouldTakeNoRequestAfterItsLastResponseWhenTheStopIsShort() {
        EntryStop brief = EntryStop.between(BEGIN, BEGIN + Duration.ofSeconds(1).toNanos());
        assertThat(brief.isTooLate(brief.lastResponseNanoseconds())).isFalse();
        assertThat(brief.isTooLate(brief.lastResponseNanoseconds() + 1)).isTrue();
    }
}
