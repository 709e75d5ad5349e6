package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.NodeId;

final class TargetLoadTrackerTest {
    private static final NodeId NODE = NodeId.of("node");
    private static final LoadReport REPORT = new LoadReport(9, 3, 1, 40);

    private final AtomicLong clock = new AtomicLong();
    private final TargetLoadTracker loads = TargetLoadTracker.of(clock::get);

    @Test
    void shouldCountRequestsSentSinceTheReportWhenNoNewOneArrives() {
        loads.recordReport(NODE, REPORT);
        loads.recordSent(NODE);
        loads.recordSent(NODE);
        loads.recordEnded(NODE);
        assertThat(loads.load(NODE).sentSinceReport()).isEqualTo(2);
        assertThat(loads.load(NODE).outstanding()).isEqualTo(1);
        loads.recordReport(NODE, REPORT);
        assertThat(loads.load(NODE).sentSinceReport()).isEqualTo(0);
        assertThat(loads.load(NODE).outstanding()).isEqualTo(1);
    }

    @Test
    void shouldKeepTheTimeOfTheReportWhenTimePasses() {
        clock.set(500);
        loads.recordReport(NODE, REPORT);
        clock.set(900);
        assertThat(loads.load(NODE).reportedNanoseconds()).isEqualTo(500);
        assertThat(loads.load(NODE).report()).isEqualTo(Optional.of(REPORT));
    }

    /** Fails when a report that crossed a request on its way makes the request vanish from the estimate. */
    @Test
    void shouldCountRequestsThatTheReportCannotContainWhenItArrives() {
        loads.recordSent(NODE);
        clock.set(Duration.ofMillis(100).toNanos());
        loads.recordSent(NODE);
        clock.set(Duration.ofMillis(105).toNanos());
        loads.recordReport(NODE, REPORT);
        assertThat(loads.load(NODE).sentUncounted()).isEqualTo(1);
        clock.set(Duration.ofMillis(200).toNanos());
        loads.recordReport(NODE, REPORT);
        assertThat(loads.load(NODE).sentUncounted()).isEqualTo(0);
    }

    /** Fails when a target that has refused a request counts it as load until its next report, however late that comes. */
    @Test
    void shouldNotCountARequestWhenItHasEnded() {
        loads.recordSent(NODE);
        clock.set(Duration.ofMillis(5).toNanos());
        loads.recordReport(NODE, REPORT);
        loads.recordEnded(NODE);
        assertThat(loads.load(NODE).sentUncounted()).isEqualTo(0);
    }

    /** Fails when an older report that another node passes on replaces a newer one, or changes what the default choice uses. */
    @Test
    void shouldKeepTheNewerMeasurementWhenAnOlderReportIsPassedOn() {
        LoadReport other = new LoadReport(9, 8, 2, 40);
        clock.set(Duration.ofSeconds(1).toNanos());
        loads.recordReport(NODE, REPORT);
        clock.set(Duration.ofSeconds(2).toNanos());
        loads.recordPassedOn(NODE, other, Duration.ofMillis(1_500).toNanos());
        assertThat(loads.load(NODE).measured()).isEqualTo(Optional.of(REPORT));
        loads.recordPassedOn(NODE, other, Duration.ofMillis(500).toNanos());
        assertThat(loads.load(NODE).measured()).isEqualTo(Optional.of(other));
        assertThat(loads.load(NODE).report()).isEqualTo(Optional.of(REPORT));
        assertThat(loads.newest(List.of(NODE), 1))
                .containsExactly(
                        new AgedReport(NODE, other, Duration.ofMillis(500).toNanos()));
    }

    /** Fails when a request is withheld although another node has just told of a free slot. */
    @Test
    void shouldKnowOfAFreeSlotWhenARecentReportIsPassedOn() {
        loads.recordReport(NODE, new LoadReport(9, 9, 0, 40));
        clock.set(Duration.ofSeconds(1).toNanos());
        assertThat(loads.hasFreeSlot(NODE)).isFalse();
        loads.recordPassedOn(NODE, REPORT, Duration.ofMillis(100).toNanos());
        assertThat(loads.hasFreeSlot(NODE)).isTrue();
        clock.set(Duration.ofMillis(1_200).toNanos());
        assertThat(loads.hasFreeSlot(NODE)).isFalse();
    }

    /** Fails when nodes that have left are remembered again because others still pass their reports on. */
    @Test
    void shouldIgnoreReportsPassedOnWhenTheNodeIsNotKnown() {
        loads.recordPassedOn(NODE, REPORT, 0);
        assertThat(loads.newest(List.of(NODE), 1)).isEmpty();
    }

    /** Fails when the end of a request remembers a node that has left, which then never goes and takes reports passed on. */
    @Test
    void shouldReturnNoReportWhenTheNodeWasRemoved() {
        loads.recordReport(NODE, REPORT);
        loads.recordSent(NODE);
        loads.remove(NODE);
        loads.recordEnded(NODE);
        loads.recordPassedOn(NODE, REPORT, 0);
        assertThat(loads.newest(List.of(NODE), 1)).isEmpty();
        assertThat(loads.load(NODE).report()).isEqualTo(Optional.empty());
        assertThat(loads.load(NODE).outstanding()).isEqualTo(0);
    }
}
