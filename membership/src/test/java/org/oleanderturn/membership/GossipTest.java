package org.oleanderturn.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointState;

final class GossipTest {
    private final FakeNetwork network = new FakeNetwork(new Random(7), GossipSettings.defaults());

    private void startFourMembers() {
        FakeNetwork.Member first = network.start("a1", "south", "hobart", 10);
        for (String name : List.of("a2", "b1", "b2")) {
            FakeNetwork.Member member = network.start(name, "south", name.startsWith("a") ? "hobart" : "huonville", 10);
            assertThat(member.gossip.join(List.of(first.controlAddress()))).isEqualTo(1);
        }
        network.run(30_000, () -> {});
    }

    @Test
    void shouldKnowAllMembersWhenAllJoinedThroughOne() {
        startFourMembers();
        for (FakeNetwork.Member member : network.running()) {
            assertThat(member.table().reachablePeers()).hasSize(3);
            assertThat(member.table().endpointView().all()).hasSize(4);
            assertThat(member.listenerCalls).isGreaterThan(0);
        }
    }

    @Test
    void shouldShowDrainAtEveryPeerImmediatelyWhenAnnounced() {
        startFourMembers();
        network.member("a1").gossip.drain();
        for (FakeNetwork.Member member : network.running()) {
            assertThat(member.table()
                            .record(FakeNetwork.node("a1"))
                            .orElseThrow()
                            .endpoint()
                            .state())
                    .isEqualTo(EndpointState.DRAINING);
        }
        network.member("a1").gossip.undrain();
        assertThat(network.member("a1").table().local().incarnation()).isEqualTo(11);
        assertThat(network.member("b2")
                        .table()
                        .record(FakeNetwork.node("a1"))
                        .orElseThrow()
                        .endpoint()
                        .isReady())
                .isTrue();
    }

    @Test
    void shouldDropDeadMemberAndRememberItsVersionWhenItDoesNotAnswer() {
        startFourMembers();
        network.member("b1").advanceHeldVersion(9);
        network.run(10_000, () -> {});
        network.dead.add(FakeNetwork.node("b1"));
        network.run(60_000, () -> {});
        MemberTable table = network.member("a1").table();
        assertThat(table.record(FakeNetwork.node("b1")).orElseThrow().liveness())
                .isEqualTo(Liveness.UNREACHABLE);
        assertThat(table.endpointView().all()).hasSize(3);
        assertThat(table.highestKnownVersion(FakeNetwork.node("b1"))).isEqualTo(ConfigurationVersion.of(9));
        assertThat(table.highestVersionInZone(table.record(FakeNetwork.node("b1"))
                        .orElseThrow()
                        .locality()
                        .zone()))
                .isEqualTo(ConfigurationVersion.of(9));
    }

    private void startZones(int membersEach) {
        Address first = Address.of("a0.host", 7_000);
        for (String zone : List.of("a", "b", "c")) {
            for (int index = 0; index < membersEach; index++) {
                network.start(zone + index, zone.equals("c") ? "north" : "south", zone, 10);
            }
        }
        network.running().forEach(member -> member.gossip.join(List.of(first)));
        network.run(30_000, () -> {});
    }

    @Test
    void shouldCrossZoneLinkOnlyAFewTimesWhenDrainIsAnnouncedToLargeZones() {
        startZones(12);
        network.member("a3").gossip.drain();
        for (FakeNetwork.Member member : network.running()) {
            assertThat(member.table()
                            .record(FakeNetwork.node("a3"))
                            .orElseThrow()
                            .endpoint()
                            .state())
                    .isEqualTo(EndpointState.DRAINING);
        }
        assertThat(network.announcementsBetweenZones).isEqualTo(6);
    }

    @Test
    void shouldKeepEndpointsWhenZoneIsPartitionedAndConvergeWhenItHeals() {
        InvariantCheck invariants = new InvariantCheck(network, "seed 7");
        startZones(3);
        network.cut("b", "a");
        network.cut("b", "c");
        network.run(60_000, invariants::check);
        network.member("a0").gossip.leave();
        network.dead.add(FakeNetwork.node("a0"));
        network.dead.add(FakeNetwork.node("c0"));
        network.run(540_000, invariants::check);
        MemberTable isolatedTable = network.member("b0").table();
        assertThat(isolatedTable.isIsolated()).isTrue();
        assertThat(isolatedTable.endpointView().all()).hasSize(9);
        assertThat(isolatedTable.isLastResort(FakeNetwork.node("a0"))).isTrue();
        network.heal();
        network.run(90_000, invariants::check);
        invariants.checkAgreement();
        assertThat(network.member("b0").table().endpointView().all()).hasSize(7);
    }

    @Test
    void shouldNotMarkOthersUnreachableWhenItWasFrozenItself() {
        startZones(4);
        network.lossRate = 0.9;
        network.run(3_000, () -> {});
        FakeNetwork.Member frozen = network.member("a1");
        network.frozen.add(frozen.node());
        network.heal();
        network.run(120_000, () -> {});
        network.frozen.clear();
        frozen.gossip.tick();
        assertThat(frozen.table().unreachableSince(Long.MIN_VALUE)).isEmpty();
        network.run(60_000, () -> {});
        assertThat(frozen.table().reachablePeers()).hasSize(11);
    }

    @Test
    void shouldKnowVersionsOfItsRegionWithinSecondsWhenAllAdoptAVersion() {
        startZones(12);
        network.running().forEach(member -> member.advanceHeldVersion(8));
        network.run(20_000, () -> {});
        for (FakeNetwork.Member member : network.running()) {
            for (MemberRecord record : member.table().records()) {
                if (record.locality().region().equals(member.table().locality().region())) {
                    assertThat(record.heldVersion()).isEqualTo(ConfigurationVersion.of(8));
                }
            }
        }
    }

    @Test
    void shouldIgnoreVersionOfEarlierIncarnationWhenNodeRestarted() {
        startZones(2);
        MemberTable table = network.member("a0").table();
        HeldVersion staleVersion = new HeldVersion(FakeNetwork.node("a1"), 9, ConfigurationVersion.of(8));
        assertThat(table.merge(staleVersion)).isSameInstanceAs(table);
        HeldVersion localVersion = new HeldVersion(FakeNetwork.node("a0"), 10, ConfigurationVersion.of(8));
        assertThat(table.merge(localVersion)).isSameInstanceAs(table);
    }

    @Test
    void shouldKeepEveryRecordWhenThreadsReceiveConcurrently() throws InterruptedException {
        startZones(2);
        Gossip receiver = network.member("a0").gossip;
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < 8; index++) {
            int sender = index;
            threads.add(Thread.ofVirtual().start(() -> pingAs(receiver, sender)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(receiver.table().reachablePeers()).hasSize(5 + 8 * 50);
    }

    private static void pingAs(Gossip receiver, int sender) {
        for (int index = 0; index < 50; index++) {
            MemberRecord record = FakeNetwork.record("new-" + sender + "-" + index, "south", "a", 1);
            GossipRecord gossipRecord = GossipRecord.of(record, ConfigurationVersion.none(), 0);
            GossipHeader header = new GossipHeader(gossipRecord, ConfigurationVersion.none(), List.of(), List.of());
            receiver.receive(new GossipMessage.Ping(header));
        }
    }
}
