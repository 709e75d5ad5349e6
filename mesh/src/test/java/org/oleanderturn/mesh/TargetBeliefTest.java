package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.ServiceName;

final class TargetBeliefTest {
    private static final TargetStart FIRST = new TargetStart("i-1", 1_000);
    private static final TargetStart AGAIN = new TargetStart("i-1", 2_000);

    @Test
    void shouldOpenAtTheFirstReport() {
        assertThat(TargetBelief.unknown().isOpen()).isFalse();
        assertThat(opened(FIRST, 1).isOpen()).isTrue();
    }

    @Test
    void shouldStayClosedWhenAnOlderReportComesAfterTheTargetLeft() {
        TargetBelief left = opened(FIRST, 5).reported(report(FIRST, 6, true), 0);
        assertThat(left.state()).isEqualTo(EndpointState.DRAINING);
        assertThat(left.reported(report(FIRST, 4, false), 0).isOpen()).isFalse();
        assertThat(left.reported(report(FIRST, 7, false), 0).isOpen()).isFalse();
    }

    @Test
    void shouldStayClosedWhenADelayedReportComesAfterADeregistration() {
        TargetBelief left = opened(FIRST, 5).left(FIRST);
        assertThat(left.reported(report(FIRST, 6, false), 0).isOpen()).isFalse();
    }

    @Test
    void shouldCloseWhenADeregistrationStatesNoStart() {
        TargetBelief left = opened(FIRST, 5).left(new TargetCall.Leave("i-1", OptionalLong.empty()));
        assertThat(left.isOpen()).isFalse();
        assertThat(left.reported(report(FIRST, 6, false), 0).isOpen()).isFalse();
    }

    @Test
    void shouldOpenForANewStartUnderTheSameInstance() {
        TargetBelief left = opened(FIRST, 9).left(FIRST);
        assertThat(left.reported(report(AGAIN, 1, false), 0).isOpen()).isTrue();
    }

    @Test
    void shouldIgnoreAReportOfAnEarlierStart() {
        TargetBelief again = opened(AGAIN, 1);
        assertThat(again.reported(report(FIRST, 99, true), 0)).isEqualTo(again);
    }

    @Test
    void shouldOpenAgainAtANewReportAfterItWasDown() {
        TargetBelief down = opened(FIRST, 3).down();
        assertThat(down.isOpen()).isFalse();
        assertThat(down.reported(report(FIRST, 3, false), 0).isOpen()).isFalse();
        assertThat(down.reported(report(FIRST, 4, false), 0).isOpen()).isTrue();
    }

    @Test
    void shouldNeverOpenForAStartThatLeftInAnyOrderOfEvents() {
        for (long seed = 0; seed < 2_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TargetBelief belief = TargetBelief.unknown();
            for (int step = 0; step < 40; step++) {
                TargetStart start = new TargetStart("i-" + random.nextInt(2), random.nextInt(3));
                belief = switch (random.nextInt(5)) {
                    case 0 -> belief.left(start);
                    case 1 -> belief.down();
                    case 2 -> belief.reported(report(start, random.nextInt(20), true), step);
                    default -> belief.reported(report(start, random.nextInt(20), false), step);
                };
                if (belief.isOpen()
                        && belief.left().contains(belief.report().orElseThrow().start())) {
                    throw new AssertionError("open for a start that left, seed " + seed);
                }
            }
        }
    }

    private static TargetBelief opened(TargetStart start, long sequence) {
        return TargetBelief.unknown().reported(report(start, sequence, false), 0);
    }

    private static TargetReport report(TargetStart start, long sequence, boolean isLeaving) {
        return new TargetReport(start, sequence, ServiceName.of("bookings"), 9, isLeaving);
    }
}
