package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

final class ZoneLeadershipTest {
    private static final Locality HERE = Locality.of("south", "hobart");
    private static final Locality THERE = Locality.of("south", "huonville");

    @Test
    void shouldLeadWhenAlone() {
        assertThat(isLeading(List.of())).isTrue();
    }

    @Test
    void shouldLeadWhenEachEarlierNodeIsInAnotherZoneOrUnreachable() {
        assertThat(isLeading(List.of(peer("a", THERE, true), peer("b", HERE, false), peer("z", HERE, true))))
                .isTrue();
    }

    @Test
    void shouldNotLeadWhenAnEarlierNodeOfTheZoneIsReachable() {
        assertThat(isLeading(List.of(peer("b", HERE, true)))).isFalse();
    }

    private static boolean isLeading(List<Peer> peers) {
        PeerDirectory directory = () -> peers;
        return ZoneLeadership.of(NodeId.of("m"), HERE, directory).isRelay(0);
    }

    private static Peer peer(String name, Locality locality, boolean isReachable) {
        return new Peer(
                NodeId.of(name), Address.of("127.0.0.1", 1), locality, ConfigurationVersion.none(), isReachable);
    }
}
