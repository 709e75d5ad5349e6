package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RolloutOrder;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.SoftwareVersion;
import org.oleanderturn.traffic.RolloutCounts;
import org.oleanderturn.traffic.RolloutReport;
import org.oleanderturn.traffic.RolloutRouteCounts;
import org.oleanderturn.traffic.RolloutStage;
import org.oleanderturn.wire.Frame;

/** Guards the size of what the judge is sent by every node. */
final class RolloutMessagesTest {
    /** With 72 reports per second and their answers, within the 21 KB per second of a node. */
    private static final int MOST_BYTES = 280;

    private static int size(ControlMessage message) {
        Frame frame = new ControlFrames().encode(message, false);
        assertThat(ControlFrames.decode(frame).get()).isEqualTo(message);
        return frame.payload().length;
    }

    @Test
    void shouldFitTheControlTrafficOfTheJudgeWhenFourRoutesHaveCounts() {
        RolloutCounts counts = new RolloutCounts(120, 2, 100, 4_500, 230_000);
        List<RolloutRouteCounts> routes = List.of(
                new RolloutRouteCounts("saldo".hashCode(), counts, counts),
                new RolloutRouteCounts("aporte".hashCode(), counts, counts),
                new RolloutRouteCounts("extracto".hashCode(), counts, counts),
                new RolloutRouteCounts("registro".hashCode(), counts, counts));
        ServiceName service = ServiceName.of("consultas-ent");
        RolloutReport report =
                new RolloutReport(NodeId.of("node-89"), service, 1_234_567, RolloutStage.CANARY, 11_000, 3, routes);
        RolloutOrder order = new RolloutOrder(service, SoftwareVersion.of("2026.12.06-1"), 12_000, 1_234_567);
        int reportBytes = size(new ControlMessage.RolloutReports(List.of(report)));
        int answerBytes = size(new ControlMessage.RolloutDirectives(
                List.of(new RolloutDirective(order, RolloutStage.CANARY, true, false, 11_000))));
        assertThat(reportBytes + answerBytes).isAtMost(MOST_BYTES);
    }
}
