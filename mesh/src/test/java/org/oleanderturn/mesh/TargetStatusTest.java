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
    void shouldOpenWhenTheFirstReportArrives() {
        assertThat(TargetStatus.unknown().isOpen()).isFalse();
        assertThat(statusAfterReport(FIRST, 1).isOpen()).isTrue();
    }

    @Test
    void shouldStayClosedWhenAnOlderReportArrivesAfterTheTargetLeft() {
        TargetStatus left = statusAfterReport(FIRST, 5).withReport(report(FIRST, 6, true), 0);
        assertThat(left.state()).isEqualTo(EndpointState.DRAINING);
        assertThat(left.withReport(report(FIRST, 4, false), 0).isOpen()).isFalse();
        assertThat(left.withReport(report(FIRST, 7, false), 0).isOpen()).isFalse();
    }

    @Test
    void shouldStayClosedWhenADelayedReportArrivesAfterADeregistration() {
        TargetStatus left = statusAfterReport(FIRST, 5).withDeparture(FIRST);
        assertThat(left.withReport(report(FIRST, 6, false), 0).isOpen()).isFalse();
    }

    @Test
    void shouldCloseWhenADeregistrationStatesNoStartTime() {
        TargetStatus left =
                statusAfterReport(FIRST, 5).withDeparture(new TargetCall.Deregistration("i-1", OptionalLong.empty()));
        assertThat(left.isOpen()).isFalse();
        assertThat(left.withReport(report(FIRST, 6, false), 0).isOpen()).isFalse();
    }

    @Test
    void shouldOpenWhenARestartedTargetReusesItsInstanceId() {
        TargetStatus left = statusAfterReport(FIRST, 9).withDeparture(FIRST);
        assertThat(left.withReport(report(SECOND, 1, false), 0).isOpen()).isTrue();
    }

    @Test
    void shouldIgnoreAReportWhenItIsFromAnEarlierProcess() {
        TargetStatus restarted = statusAfterReport(SECOND, 1);
        assertThat(restarted.withReport(report(FIRST, 99, true), 0)).isEqualTo(restarted);
    }

    @Test
    void shouldOpenAgainWhenANewReportArrivesAfterItWasDown() {
        TargetStatus down = statusAfterReport(FIRST, 3).withDown();
        assertThat(down.isOpen()).isFalse();
        assertThat(down.withReport(report(FIRST, 3, false), 0).isOpen()).isFalse();
        assertThat(down.withReport(report(FIRST, 4, false), 0).isOpen()).isTrue();
    }

    @Test
    void shouldNeverOpenForAProcessThatLeftWhenEventsArriveInAnyOrder() {
        for (long seed = 0; seed < 2_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TargetStatus status = TargetStatus.unknown();
            for (int step = 0; step < 40; step++) {
                TargetStart start = new TargetStart("i-" + random.nextInt(2), random.nextInt(3));
                status = switch (random.nextInt(5)) {
                    case 0 -> status.withDeparture(start);
                    case 1 -> status.withDown();
                    case 2 -> status.withReport(report(start, random.nextInt(20), true), step);
                    default -> status.withReport(report(start, random.nextInt(20), false), step);
                };
                if (status.isOpen()
                        && status.left().contains(status.report().orElseThrow().start())) {
                    throw new AssertionError("open for a process that left, seed " + seed);
                }
            }
        }
    }

    private static TargetStatus statusAfterReport(TargetStart start, long sequence) {
        return TargetStatus.unknown().withReport(report(start, sequence, false), 0);
    }

    private static TargetReport report(TargetStart start, long sequence, boolean isLeaving) {
        return new TargetReport(start, sequence, ServiceName.of("bookings"), 9, isLeaving);
    }
}
