package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.ServiceName;

final class TargetStatusTest {
    private static final TargetStart FIRST = new TargetStart("i-1", 1_000);
    private static final TargetStart SECOND = new TargetStart("i-1", 2_000);

    @Test
    void shouldOpenAtTheFirstReport() {
        assertThat(TargetStatus.unknown().isOpen()).isFalse();
        assertThat(opened(FIRST, 1).isOpen()).isTrue();
    }

    @Test
    void shouldStayClosedWhenAnOlderReportComesAfterTheTargetLeft() {
        TargetStatus left = opened(FIRST, 5).withReport(report(FIRST, 6, true), 0);
        assertThat(left.state()).isEqualTo(EndpointState.DRAINING);
        assertThat(left.withReport(report(FIRST, 4, false), 0).isOpen()).isFalse();
        assertThat(left.withReport(report(FIRST, 7, false), 0).isOpen()).isFalse();
    }

    @Test
    void shouldStayClosedWhenADelayedReportComesAfterADeregistration() {
        TargetStatus left = opened(FIRST, 5).left(FIRST);
        assertThat(left.withReport(report(FIRST, 6, false), 0).isOpen()).isFalse();
    }

    @Test
    void shouldCloseWhenADeregistrationStatesNoStart() {
        TargetStatus left = opened(FIRST, 5).left(new TargetCall.Deregistration("i-1", OptionalLong.empty()));
        assertThat(left.isOpen()).isFalse();
        assertThat(left.withReport(report(FIRST, 6, false), 0).isOpen()).isFalse();
    }

    @Test
    void shouldOpenForANewStartUnderTheSameInstance() {
        TargetStatus left = opened(FIRST, 9).left(FIRST);
        assertThat(left.withReport(report(SECOND, 1, false), 0).isOpen()).isTrue();
    }

    @Test
    void shouldIgnoreAReportOfAnEarlierStart() {
        TargetStatus again = opened(SECOND, 1);
        assertThat(again.withReport(report(FIRST, 99, true), 0)).isEqualTo(again);
    }

    @Test
    void shouldOpenAgainAtANewReportAfterItWasDown() {
        TargetStatus down = opened(FIRST, 3).withDown();
        assertThat(down.isOpen()).isFalse();
        assertThat(down.withReport(report(FIRST, 3, false), 0).isOpen()).isFalse();
        assertThat(down.withReport(report(FIRST, 4, false), 0).isOpen()).isTrue();
    }

    @Test
    void shouldNeverOpenForAStartThatLeftInAnyOrderOfEvents() {
        for (long seed = 0; seed < 2_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TargetStatus belief = TargetStatus.unknown();
            for (int step = 0; step < 40; step++) {
                TargetStart start = new TargetStart("i-" + random.nextInt(2), random.nextInt(3));
                belief = switch (random.nextInt(5)) {
                    case 0 -> belief.left(start);
                    case 1 -> belief.withDown();
                    case 2 -> belief.withReport(report(start, random.nextInt(20), true), step);
                    default -> belief.withReport(report(start, random.nextInt(20), false), step);
                };
                if (belief.isOpen()
                        && belief.left().contains(belief.report().orElseThrow().start())) {
                    throw new AssertionError("open for a start that left, seed " + seed);
                }
            }
        }
    }

    private static TargetStatus opened(TargetStart start, long sequence) {
        return TargetStatus.unknown().withReport(report(start, sequence, false), 0);
    }

    private static TargetReport report(TargetStart start, long sequence, boolean isLeaving) {
        return new TargetReport(start, sequence, ServiceName.of("bookings"), 9, isLeaving);
    }
}
