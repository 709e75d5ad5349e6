package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

class ReadinessGateTest {
    private static final NodeId FIRST = NodeId.of("first");
    private static final NodeId SECOND = NodeId.of("second");
    private final ReadinessGate floor = ReadinessGate.create();

    /** The store is down and the others of the zone are one version behind what the node held. */
    @Test
    void shouldWaitForWhatItHeldWhenItsPeersAreBehind() {
        floor.observePeer(answer(FIRST, true, 6, 7));

        assertThat(floor.assess(version(6), List.of(FIRST))).isEqualTo(new Readiness.Behind(version(6), version(7)));
        assertThat(floor.assess(version(7), List.of(FIRST)).isReady()).isTrue();
    }

    @Test
    void shouldWaitWhenAReachablePeerHasNotAnswered() {
        floor.observePeer(answer(FIRST, true, 6, 6));

        assertThat(floor.assess(version(6), List.of(FIRST, SECOND))).isEqualTo(new Readiness.Asking(List.of(SECOND)));
    }

    @Test
    void shouldNotBeReadyWhenItIsAloneWithoutTheStore() {
        assertThat(floor.assess(version(0), List.of())).isEqualTo(new Readiness.NoEvidence());
    }

    @Test
    void shouldNotBeReadyWhenAllNodesOfTheZoneRestarted() {
        floor.observePeer(answer(FIRST, false, 0, 0));
        floor.observePeer(answer(SECOND, false, 0, 0));

        assertThat(floor.assess(version(0), List.of(FIRST, SECOND))).isEqualTo(new Readiness.NoEvidence());
    }

    @Test
    void shouldTakeThePeersWordWhenTheStoreWasRestored() {
        floor.observeHead(version(3));
        floor.observePeer(answer(FIRST, true, 5, 5));

        assertThat(floor.assess(version(3), List.of(FIRST))).isEqualTo(new Readiness.Behind(version(3), version(5)));
    }

    @Test
    void shouldStayReadyWhenANewerVersionIsHeardOfLater() {
        floor.observeHead(version(3));
        floor.markReady();
        floor.observePeer(answer(FIRST, true, 9, 9));

        assertThat(floor.assess(version(3), List.of(SECOND)).isReady()).isTrue();
    }

    private static PeerVersionReport answer(NodeId peer, boolean isReady, long held, long newestKnown) {
        return new PeerVersionReport(peer, isReady, version(held), version(newestKnown));
    }

    private static ConfigurationVersion version(long number) {
        return ConfigurationVersion.of(number);
    }
}
