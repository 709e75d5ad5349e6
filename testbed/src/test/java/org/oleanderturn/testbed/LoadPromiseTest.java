package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class LoadPromiseTest {
    private static final String ENTRY = "127.0.0.1:21001";

    @Test
    void shouldKeepEveryPromiseWhenCallersWereToldTheTruth() {
        assertThat(broken(report(0, 0), Map.of("a", 1), List.of())).isEmpty();
    }

    @Test
    void shouldBreakPromiseWhenBookingRanTwiceOrNotAtAll() {
        assertThat(broken(report(0, 0), Map.of("a", 2), List.of()))
                .containsExactly("no booking ran more than once", "every booking answered as run ran once");
        assertThat(broken(report(0, 0), Map.of(), List.of())).containsExactly("every booking answered as run ran once");
    }

    @Test
    void shouldBreakPromiseWhenRefusedBookingRan() {
        assertThat(broken(report(0, 0), Map.of("a", 1, "b", 1), List.of()))
                .containsExactly("no booking refused as not run ran");
    }

    @Test
    void shouldBreakPromiseWhenRequestWasLostAtEntryThatWasNotKilled() {
        assertThat(broken(report(1, 0), Map.of("a", 1), List.of())).containsExactly("no request was lost or cut off");
        assertThat(broken(report(1, 0), Map.of("a", 1), List.of(ENTRY))).isEmpty();
    }

    @Test
    void shouldBreakPromiseWhenRequestNeverEnded() {
        assertThat(broken(report(0, 1), Map.of("a", 1), List.of())).containsExactly("every request is accounted for");
    }

    private static List<String> broken(LoadReport report, Map<String, Integer> runs, List<String> killedEntries) {
        return LoadPromise.check(report, runs, killedEntries).stream()
                .filter(promise -> !promise.isKept())
                .map(LoadPromise::text)
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
