package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

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

    @Test
    void shouldReturnNoReportWhenTheNodeWasRemoved() {
        loads.recordReport(NODE, REPORT);
        loads.recordSent(NODE);
        loads.remove(NODE);
        loads.recordEnded(NODE);
        assertThat(loads.load(NODE).report()).isEqualTo(Optional.empty());
        assertThat(loads.load(NODE).outstanding()).isEqualTo(0);
    }
}
