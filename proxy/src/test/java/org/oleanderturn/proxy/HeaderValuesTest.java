package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class HeaderValuesTest {
    private static OptionalLong number(String value) {
        return HeaderValues.findNumber(List.of(HeaderField.of("X-Count", value)), "x-count");
    }

    @Test
    void shouldParseANumberWhenTheValueHasOnlyDigits() {
        assertThat(number("0")).hasValue(0);
        assertThat(number("007")).hasValue(7);
        assertThat(number("999999999999999")).hasValue(999_999_999_999_999L);
    }

    @Test
    void shouldReturnEmptyWhenTheValueIsNotANumber() {
        for (String value : List.of("", "-1", "+1", "1.5", "1 ", "1e3", "0x10", "\u0663", "1000000000000000")) {
            assertThat(number(value)).isEmpty();
        }
    }

    @Test
    void shouldReturnEmptyWhenTheHeaderIsMissing() {
        assertThat(HeaderValues.findNumber(List.of(), "X-Count")).isEmpty();
    }

    @Test
    void shouldDropHeadersWhenTheyApplyToOneConnectionOrHop() {
        List<HeaderField> received = List.of(
                HeaderField.of("Connection", "X-Private, close"),
                HeaderField.of("X-Private", "1"),
                HeaderField.of(ProxyHeaders.RANK, "1"),
                HeaderField.of("Accept", "text/plain"));
        assertThat(HeaderValues.forwardable(received)).containsExactly(HeaderField.of("Accept", "text/plain"));
    }

    @Test
    void shouldPreferMillisecondsWhenBothRetryDelaysAreGiven() {
        List<HeaderField> both = List.of(
                HeaderField.of(ProxyHeaders.RETRY_AFTER, "2"),
                HeaderField.of(ProxyHeaders.RETRY_AFTER_MILLISECONDS, "150"));
        assertThat(HeaderValues.retryAfter(both)).isEqualTo(Duration.ofMillis(150));
    }
}
