package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class LoadGuaranteeTest {
    private static final String ENTRY = "127.0.0.1:21001";

    @Test
    void shouldKeepEveryGuaranteeWhenReportMatchesRuns() {
        assertThat(brokenGuarantees(report(0, 0), Map.of("a", 1), List.of())).isEmpty();
    }

    @Test
    void shouldBreakGuaranteeWhenBookingRanTwiceOrNotAtAll() {
        assertThat(brokenGuarantees(report(0, 0), Map.of("a", 2), List.of()))
                .containsExactly("no booking ran more than once", "every booking answered as run ran once");
        assertThat(brokenGuarantees(report(0, 0), Map.of(), List.of()))
                .containsExactly("every booking answered as run ran once");
    }

    @Test
    void shouldBreakGuaranteeWhenRefusedBookingRan() {
        assertThat(brokenGuarantees(report(0, 0), Map.of("a", 1, "b", 1), List.of()))
                .containsExactly("no booking refused as not run ran");
    }

    @Test
    void shouldBreakGuaranteeWhenRequestWasLostAtEntryThatWasNotKilled() {
        assertThat(brokenGuarantees(report(1, 0), Map.of("a", 1), List.of()))
                .containsExactly("no request was lost or cut off");
        assertThat(brokenGuarantees(report(1, 0), Map.of("a", 1), List.of(ENTRY)))
                .isEmpty();
    }

    @Test
    void shouldBreakGuaranteeWhenRequestNeverEnded() {
        assertThat(brokenGuarantees(report(0, 1), Map.of("a", 1), List.of()))
                .containsExactly("every request is accounted for");
    }

    private static List<String> brokenGuarantees(
            LoadReport report, Map<String, Integer> runs, List<String> killedEntries) {
        return LoadGuarantee.check(report, runs, killedEntries).stream()
                .filter(guarantee -> !guarantee.isKept())
                .map(LoadGuarantee::text)
                .toList();
    }

    private static LoadReport report(long lost, long neverEnded) {
        return new LoadReport(
                2 + lost + neverEnded,
                1,
                1,
                0,
                lost,
                0,
                0,
                lost == 0 ? Map.of() : Map.of(ENTRY, lost),
                Map.of(),
                0,
                List.of(),
                List.of(),
                Map.of(),
                Map.of(LoadOutcome.ANSWERED, List.of("a"), LoadOutcome.REFUSED_NOT_RUN, List.of("b")));
    }
}
