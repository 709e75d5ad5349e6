package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

class ReadinessGateTest {
    private static final NodeId FIRST = NodeId.of("first");
    private static final NodeId SECOND = NodeId.of("second");
    private final ReadinessGate gate = ReadinessGate.create();

    /** The store is unreachable, and the other nodes in the zone are one version behind what the node held before. */
    @Test
    void shouldWaitForThePreviouslyHeldVersionWhenItsPeersAreBehind() {
        gate.observePeer(report(FIRST, true, 6, 7));

        assertThat(gate.assess(version(6), List.of(FIRST))).isEqualTo(new Readiness.Behind(version(6), version(7)));
        assertThat(gate.assess(version(7), List.of(FIRST)).isReady()).isTrue();
    }

    @Test
    void shouldWaitWhenAReachablePeerHasNotResponded() {
        gate.observePeer(report(FIRST, true, 6, 6));

        assertThat(gate.assess(version(6), List.of(FIRST, SECOND))).isEqualTo(new Readiness.Asking(List.of(SECOND)));
    }

    @Test
    void shouldNotBeReadyWhenItHasNeitherPeersNorTheStore() {
        assertThat(gate.assess(version(0), List.of())).isEqualTo(new Readiness.NoEvidence());
    }

    @Test
    void shouldNotBeReadyWhenAllNodesInTheZoneHaveRestarted() {
        gate.observePeer(report(FIRST, false, 0, 0));
        gate.observePeer(report(SECOND, false, 0, 0));

        assertThat(gate.assess(version(0), List.of(FIRST, SECOND))).isEqualTo(new Readiness.NoEvidence());
    }

    @Test
    void shouldWaitForThePeersVersionWhenTheStoreWasRestored() {
        gate.observeHead(version(3));
        gate.observePeer(report(FIRST, true, 5, 5));

        assertThat(gate.assess(version(3), List.of(FIRST))).isEqualTo(new Readiness.Behind(version(3), version(5)));
    }

    @Test
    void shouldStayReadyWhenANewerVersionIsReportedLater() {
        gate.observeHead(version(3));
        gate.markReady();
        gate.observePeer(report(FIRST, true, 9, 9));

        assertThat(gate.assess(version(3), List.of(SECOND)).isReady()).isTrue();
    }

    private static PeerVersionReport report(NodeId peer, boolean isReady, long held, long newestKnown) {
        return new PeerVersionReport(peer, isReady, version(held), version(newestKnown));
    }

    private static ConfigurationVersion version(long number) {
        return ConfigurationVersion.of(number);
    }
}
