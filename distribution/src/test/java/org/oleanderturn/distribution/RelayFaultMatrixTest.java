package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.store.FakeStore.Fault;

/** Injects every fault at every store call of the relay election and the head watcher. */
class RelayFaultMatrixTest {
    private static final Region PLATFORM_REGION = Region.of("south");
    private static final Locality ZONE = Locality.of("south", "south-1");
    private static final int CALLS = 10;

    /** What happens to the first node between two changes of the configuration. */
    enum Condition {
        NONE,
        FROZEN,
        RESIGNED
    }

    private long nowMilliseconds = 1;
    private final FakeStore store = FakeStore.of(() -> nowMilliseconds);
    private ConfigurationVersion lastHeld = ConfigurationVersion.none();

    static Stream<Arguments> cells() {
        return IntStream.range(0, CALLS)
                .boxed()
                .flatMap(call -> Arrays.stream(Fault.values())
                        .flatMap(fault -> Arrays.stream(Condition.values())
                                .map(condition -> Arguments.of(call, fault, condition))));
    }

    @ParameterizedTest(name = "call {0} {1} {2}")
    @MethodSource("cells")
    void shouldElectAllRelaysAndAdoptTheHeadWhenFaultsCombine(int call, Fault fault, Condition condition) {
        String step = "store call " + call;
        FaultMatrix.cell(
                "relay change",
                step,
                fault + "/" + condition,
                "two relays; version never decreases; head adopted",
                () -> {
                    Zone zone = new Zone(3, ZONE);
                    zone.members.getFirst().faultyStore.injectFault(call, fault);
                    zone.members.getFirst().faultyStore.injectFault(call + 1, fault);
                    propose("first", 10);
                    zone.advance(40_000);
                    zone.apply(condition);
                    propose("second", 11);
                    zone.advance(40_000);
                    store.applyLateWrites();
                    zone.members.getFirst().isFrozen = false;
                    zone.advance(40_000);

                    long relays = zone.members.stream().filter(Member::isRelay).count();
                    assertThat(relays).isEqualTo(RelayElection.SLOTS_PER_ZONE);
                    assertThat(zone.newest()).isEqualTo(ConfigurationVersion.of(2));
                });
    }

    // -- named cases

    @Test
    void shouldElectAnotherRelayWhenOneIsFrozenPastItsLease() {
        Zone zone = new Zone(3, ZONE);
        zone.advance(30_000);
        Member relay = zone.members.stream().filter(Member::isRelay).findFirst().orElseThrow();
        relay.isFrozen = true;
        zone.advance(30_000);

        assertThat(relay.isRelay()).isFalse();
        assertThat(zone.members.stream().filter(Member::isRelay).count()).isEqualTo(RelayElection.SLOTS_PER_ZONE);
        relay.isFrozen = false;
        zone.advance(30_000);
        assertThat(zone.members.stream().filter(Member::isRelay).count()).isEqualTo(RelayElection.SLOTS_PER_ZONE);
    }

    @Test
    void shouldKeepTheHeldVersionAndReportTheOlderHeadWhenTheStoreIsRestored() {
        Zone zone = new Zone(1, ZONE);
        propose("first", 10);
        Map<String, byte[]> backup = store.contents();
        propose("second", 11);
        zone.advance(20_000);
        Map<String, byte[]> restored = store.contents();
        restored.putAll(backup);
        store.restore(restored);
        zone.advance(20_000);

        Member member = zone.members.getFirst();
        assertThat(member.watcher.status())
                .isEqualTo(new HeadStatus.StoreBehind(ConfigurationVersion.of(1), ConfigurationVersion.of(2)));
        assertThat(member.holder.version()).isEqualTo(ConfigurationVersion.of(2));
    }

    @Test
    void shouldReportUnavailableWhenTheHeadCannotBeDecoded() {
        Zone zone = new Zone(1, ZONE);
        zone.advance(20_000);
        var _ = store.compareAndSwap(ConfigurationHead.KEY, 0, new byte[] {1, 2, 3});
        zone.advance(20_000);

        assertThat(zone.members.getFirst().watcher.status()).isInstanceOf(HeadStatus.Unavailable.class);
        assertThat(zone.members.getFirst().holder.version()).isEqualTo(ConfigurationVersion.none());
    }

    @Test
    void shouldMakeAboutAsManyStoreCallsWhenAZoneHasTenTimesTheNodes() {
        long few = storeCallsOfZone(8, Fault.NONE);
        long many = storeCallsOfZone(80, Fault.NONE);

        assertWithMessage("few %s, many %s", few, many).that(many).isAtMost(few + few / 4);
    }

    @Test
    void shouldMakeFewerStoreCallsWhenTheStoreIsUnreachable() {
        assertThat(storeCallsOfZone(80, Fault.UNREACHABLE)).isLessThan(storeCallsOfZone(80, Fault.NONE) / 4);
    }

    @Test
    void shouldMakeFewStoreCallsPerZoneWhenAnotherRegionIsPartitioned() {
        long few = storeCallsOfPartitionedZone(5);
        long many = storeCallsOfPartitionedZone(50);

        assertWithMessage("few %s, many %s", few, many).that(few).isGreaterThan(0);
        assertWithMessage("few %s, many %s", few, many).that(many).isAtMost(3 * few);
    }

    private long storeCallsOfZone(int size, Fault fault) {
        store.setDefaultFault(fault);
        Zone zone = new Zone(
                size, Locality.of("south", "zone-" + size + fault.name().toLowerCase(Locale.ROOT)));
        long before = store.calls();
        zone.advance(60_000);
        return store.calls() - before;
    }

    private long storeCallsOfPartitionedZone(int size) {
        Zone zone = new Zone(size, Locality.of("north", "north-" + size));
        long before = store.calls();
        zone.advance(600_000);
        return store.calls() - before;
    }

    private void propose(String id, int slots) {
        ConfigurationHolder holder = ConfigurationHolder.empty();
        var _ = ProposalAcceptor.of(store, holder, SnapshotHistory.of(holder), ConfigurationVersion::none)
                .propose(Samples.proposal(id, Samples.services(slots, 10)));
    }

    /** The nodes of one zone, run in simulated time. */
    private final class Zone {
        private final List<Member> members = new ArrayList<>();
        private final Locality locality;

        private Zone(int size, Locality locality) {
            this.locality = locality;
            for (int number = 0; number < size; number++) {
                members.add(new Member(this, number));
            }
        }

        private void advance(long milliseconds) {
            for (long end = nowMilliseconds + milliseconds; nowMilliseconds < end; nowMilliseconds += 100) {
                members.stream().filter(member -> !member.isFrozen).forEach(Member::run);
                ConfigurationVersion held = members.getFirst().holder.version();
                assertThat(held).isAtLeast(lastHeld);
                lastHeld = held;
            }
        }

        private void apply(Condition condition) {
            switch (condition) {
                case NONE -> members.getFirst().isFrozen = false;
                case FROZEN -> members.getFirst().isFrozen = true;
                case RESIGNED -> members.getFirst().election.resign();
            }
        }

        private ConfigurationVersion newest() {
            return members.stream()
                    .map(member -> member.holder.version())
                    .reduce(ConfigurationVersion.none(), ConfigurationVersion::newest);
        }

        private List<Peer> others(Member self) {
            return members.stream()
                    .filter(member -> member != self)
                    .map(member -> new Peer(
                            member.nodeId,
                            Address.of("127.0.0.1", 1 + member.number),
                            locality,
                            member.holder.version(),
                            !member.isFrozen))
                    .toList();
        }
    }

    /** One node with its relay election and its head watcher. */
    private final class Member {
        private final int number;
        private final NodeId nodeId;
        private final FaultInjectingStore faultyStore = new FaultInjectingStore(store, () -> {});
        private final ConfigurationHolder holder = ConfigurationHolder.empty();
        private final RelayElection election;
        private final HeadWatcher watcher;
        private boolean isFrozen;
        private long nextWatchMilliseconds;

        private Member(Zone zone, int number) {
            this.number = number;
            this.nodeId = NodeId.of("node-" + (100 + number));
            PeerDirectory directory = () -> zone.others(this);
            RelayCandidacy candidacy = RelayCandidacy.of(nodeId, zone.locality, PLATFORM_REGION, directory);
            Random random = new Random(number);
            election = RelayElection.of(
                    faultyStore,
                    new RelayRegistration(nodeId, Address.of("127.0.0.1", 1)),
                    zone.locality.zone(),
                    candidacy,
                    random);
            watcher = HeadWatcher.of(
                    faultyStore,
                    election,
                    holder,
                    ReadinessGate.create(),
                    zone.locality,
                    PLATFORM_REGION,
                    directory,
                    random);
        }

        private boolean isRelay() {
            return election.isRelay(nowMilliseconds);
        }

        private void run() {
            election.tick(nowMilliseconds);
            if (nowMilliseconds >= nextWatchMilliseconds) {
                nextWatchMilliseconds = nowMilliseconds + watcher.runOnce(nowMilliseconds);
            }
        }
    }
}
