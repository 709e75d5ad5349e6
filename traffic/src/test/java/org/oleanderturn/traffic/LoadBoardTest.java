package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.NodeId;

final class LoadBoardTest {
    private static final NodeId NODE = NodeId.of("node");
    private static final LoadReport REPORT = new LoadReport(9, 3, 1, 40);

    private final AtomicLong clock = new AtomicLong();
    private final LoadBoard board = LoadBoard.of(clock::get);

    @Test
    void shouldCountWhatWasSentSinceTheReport() {
        board.report(NODE, REPORT);
        board.sent(NODE);
        board.sent(NODE);
        board.ended(NODE);
        assertThat(board.standing(NODE).sentSince()).isEqualTo(2);
        assertThat(board.standing(NODE).outstanding()).isEqualTo(1);
        board.report(NODE, REPORT);
        assertThat(board.standing(NODE).sentSince()).isEqualTo(0);
        assertThat(board.standing(NODE).outstanding()).isEqualTo(1);
    }

    @Test
    void shouldTellTheAgeOfTheReport() {
        clock.set(500);
        board.report(NODE, REPORT);
        clock.set(900);
        assertThat(board.standing(NODE).reportedNanoseconds()).isEqualTo(500);
        assertThat(board.standing(NODE).report()).isEqualTo(Optional.of(REPORT));
    }

    @Test
    void shouldKnowNothingOfANodeThatWasForgotten() {
        board.report(NODE, REPORT);
        board.sent(NODE);
        board.forget(NODE);
        board.ended(NODE);
        assertThat(board.standing(NODE).report()).isEqualTo(Optional.empty());
        assertThat(board.standing(NODE).outstanding()).isEqualTo(0);
    }
}
