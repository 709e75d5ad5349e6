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
    private final TargetLoadTracker board = TargetLoadTracker.of(clock::get);

    @Test
    void shouldCountWhatWasSentSinceTheReport() {
        board.recordReport(NODE, REPORT);
        board.recordSent(NODE);
        board.recordSent(NODE);
        board.recordEnded(NODE);
        assertThat(board.load(NODE).sentSinceReport()).isEqualTo(2);
        assertThat(board.load(NODE).outstanding()).isEqualTo(1);
        board.recordReport(NODE, REPORT);
        assertThat(board.load(NODE).sentSinceReport()).isEqualTo(0);
        assertThat(board.load(NODE).outstanding()).isEqualTo(1);
    }

    @Test
    void shouldTellTheAgeOfTheReport() {
        clock.set(500);
        board.recordReport(NODE, REPORT);
        clock.set(900);
        assertThat(board.load(NODE).reportedNanoseconds()).isEqualTo(500);
        assertThat(board.load(NODE).report()).isEqualTo(Optional.of(REPORT));
    }

    @Test
    void shouldKnowNothingOfANodeThatWasForgotten() {
        board.recordReport(NODE, REPORT);
        board.recordSent(NODE);
        board.remove(NODE);
        board.recordEnded(NODE);
        assertThat(board.load(NODE).report()).isEqualTo(Optional.empty());
        assertThat(board.load(NODE).outstanding()).isEqualTo(0);
    }
}
