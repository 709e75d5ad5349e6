package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.distribution.FakeNetwork.Fault;
import org.oleanderturn.distribution.FakeNetwork.Node;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/** Injects every fault at every message while three versions are disseminated in two regions. */
class DisseminationFaultMatrixTest {
    private static final int MESSAGES = 16;
    private static final long CONVERGENCE_MILLISECONDS = 15_000;
    private static final long REPAIR_MILLISECONDS = 60_000;

    /** A failure that lasts until the network is healed. */
    enum Condition {
        NONE,
        RELAY_FROZEN,
        FAR_REGION_CUT,
        ZONE_CUT
    }

    static Stream<Arguments> cells() {
        return IntStream.range(0, MESSAGES)
                .boxed()
                .flatMap(message -> Arrays.stream(Fault.values())
                        .flatMap(fault -> Arrays.stream(Condition.values())
                                .map(condition -> Arguments.of(message, fault, condition))));
    }

    @ParameterizedTest(name = "message {0} {1} {2}")
    @MethodSource("cells")
    void shouldNeverRevertAndConvergeWhenFaultsCombine(int message, Fault fault, Condition condition) {
        FaultMatrix.cell(
                "spread",
                "message " + message,
                fault + "/" + condition,
                "version never decreases; all nodes converge",
                () -> {
                    for (Fault second : Fault.values()) {
                        run(message, fault, second, condition);
                    }
                });
    }

    private static void run(int message, Fault fault, Fault second, Condition condition) {
        TwoRegions topology = new TwoRegions(message * 31L + fault.name().hashCode(), fault + " then " + second);
        FakeNetwork network = topology.network;
        network.injectFault(message, fault);
        network.injectFault(message + 1, second);
        topology.firstRelay.holder.adopt(Samples.snapshot(1));
        network.settle();
        topology.apply(condition);
        topology.secondRelay.holder.adopt(Samples.snapshot(2));
        network.settle();
        topology.secondRelay.holder.adopt(Samples.snapshot(3));
        network.settle();
        network.deliverDelayed();
        network.advance(5_000);
        topology.heal();
        network.advance(REPAIR_MILLISECONDS);
        network.deliverDelayed();
        network.check();
        network.checkAllHold(3);
    }

    // -- named cases

    @Test
    void shouldReachAllNodesWithinTheTimeLimitWhenNothingFails() {
        for (long seed = 0; seed < 20; seed++) {
            TwoRegions topology = new TwoRegions(seed, "no fault");
            topology.firstRelay.holder.adopt(Samples.snapshot(1));
            topology.network.settle();
            topology.network.advance(CONVERGENCE_MILLISECONDS);
            topology.network.checkAllHold(1);
        }
    }

    @Test
    void shouldNotAffectOtherNodesWhenAFrozenRelayPushesAnOldVersion() {
        TwoRegions topology = new TwoRegions(1, "frozen relay");
        topology.firstRelay.holder.adopt(Samples.snapshot(1));
        topology.network.settle();
        topology.firstRelay.holder.adopt(Samples.snapshot(2));
        topology.firstRelay.isFrozen = true;
        topology.secondRelay.holder.adopt(Samples.snapshot(3));
        topology.network.settle();
        topology.network.advance(CONVERGENCE_MILLISECONDS);

        topology.firstRelay.isFrozen = false;
        topology.firstRelay.disseminator.disseminate(topology.network.nowMilliseconds);
        topology.network.check();
        assertThat(topology.firstRelay.disseminator.isPullDue()).isTrue();
        topology.network.advance(500);

        topology.network.checkAllHold(3);
    }

    @Test
    void shouldFallBackToTheSnapshotWhenADeltaHasAnotherResult() {
        TwoRegions topology = new TwoRegions(2, "corrupted delta");
        Node node = topology.secondRelay;
        node.holder.adopt(Samples.snapshot(1));
        ConfigurationDelta valid = ConfigurationDelta.between(Samples.snapshot(1), Samples.snapshot(2));
        ConfigurationDelta corrupted = new ConfigurationDelta(
                valid.from(),
                valid.base(),
                valid.to(),
                Samples.snapshot(9).digest(),
                valid.changed(),
                valid.removedServices(),
                valid.removedRoutes(),
                valid.removedTrafficPolicies(),
                Optional.empty());

        assertThat(node.disseminator.receive(topology.firstRelay.address, new ConfigurationUpdate.Delta(corrupted)))
                .isInstanceOf(PushResponse.Behind.class);
        topology.firstRelay.holder.adopt(Samples.snapshot(2));
        node.disseminator.recordAdvertisedVersion(topology.firstRelay.address, ConfigurationVersion.of(2));
        node.disseminator.pull(0);

        assertThat(node.holder.held()).isEqualTo(Samples.snapshot(2));
    }

    @Test
    void shouldSendTheContentAcrossRegionsAtMostTwiceWhenManyRelaysAdvertiseIt() {
        FakeNetwork network = new FakeNetwork(3, "link between regions");
        for (int zone = 0; zone < 4; zone++) {
            network.add("south", "south-" + zone).slot = OptionalInt.of(0);
        }
        Node far = network.add("north", "north-1");
        for (int node = 1; node < 20; node++) {
            network.add("north", "north-1");
        }
        network.add("south", "south-0").holder.adopt(Samples.snapshot(1));
        network.settle();

        network.advance(CONVERGENCE_MILLISECONDS);
        network.checkAllHold(1);
        long sent = network.crossRegionPayloads();
        assertThat(far.holder.version()).isEqualTo(ConfigurationVersion.of(1));
        assertThat(sent).isAtMost(2);
    }

    /** All nodes of a zone restart at once, and only one node holds the configuration. */
    @Test
    void shouldLimitSnapshotsWhenManyNodesRestartAtOnce() {
        FakeNetwork network = new FakeNetwork(4, "many restarts");
        Node source = network.add("south", "south-1");
        source.holder.adopt(Samples.snapshot(1));
        for (int node = 0; node < 60; node++) {
            Node restarted = network.add("south", "south-1");
            restarted.disseminator.recordAdvertisedVersion(source.address, ConfigurationVersion.of(1));
        }
        network.advance(500);
        assertThat(source.disseminator.status().snapshots()).isAtMost(SnapshotRateLimiter.BURST);
        assertThat(source.disseminator.status().refusals()).isGreaterThan(0);

        network.advance(CONVERGENCE_MILLISECONDS);
        network.checkAllHold(1);
    }

    /** Every message that the node receives advertises a version that it rejects. */
    @Test
    void shouldNotFetchAgainImmediatelyWhenAVersionWasRejected() {
        ConfigurationSnapshot corrupted = new ConfigurationSnapshot(
                ConfigurationVersion.of(2),
                Samples.services(1, 1),
                Samples.snapshot(9).digest());
        CorruptingPeer corruptingPeer = new CorruptingPeer(corrupted);
        ConfigurationHolder holder = ConfigurationHolder.empty();
        UpdateSource source = UpdateSource.of(holder, SnapshotHistory.of(holder));
        Locality locality = Locality.of("south", "south-1");
        Disseminator disseminator = Disseminator.of(
                holder,
                source,
                corruptingPeer,
                corruptingPeer,
                _ -> OptionalInt.of(0),
                locality,
                FakeNetwork.PLATFORM_REGION,
                Runnable::run,
                new Random(6));
        for (long nowMilliseconds = 0; nowMilliseconds < 10_000; nowMilliseconds += 100) {
            disseminator.recordAdvertisedVersion(CorruptingPeer.ADDRESS, corrupted.version());
            disseminator.pull(nowMilliseconds);
        }

        assertThat(corruptingPeer.fetches).isEqualTo(1);
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.none());
    }

    /** Responds to each fetch with a snapshot whose digest does not match. */
    private static final class CorruptingPeer implements ConfigurationTransport, PeerDirectory {
        private static final Address ADDRESS = Address.of("127.0.0.1", 1);
        private final ConfigurationSnapshot corrupted;
        private int fetches;

        private CorruptingPeer(ConfigurationSnapshot corrupted) {
            this.corrupted = corrupted;
        }

        @Override
        public List<Peer> peers() {
            return List.of();
        }

        @Override
        public Either<PeerFailure, ConfigurationUpdate> fetch(
                Address peer, ConfigurationVersion held, Digest heldDigest) {
            fetches++;
            return Either.right(new ConfigurationUpdate.Snapshot(corrupted));
        }

        @Override
        public Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update) {
            return Either.left(new PeerFailure.TimedOut());
        }
    }

    @Test
    void shouldReportTheAdvertisedVersionWhenItIsNewerThanTheHeldOne() {
        FakeNetwork network = new FakeNetwork(7, "advertised version");
        Node node = network.add("south", "south-1");
        node.holder.adopt(Samples.snapshot(6));
        node.disseminator.recordAdvertisedVersion(Address.of("127.0.0.1", 9_999), ConfigurationVersion.of(7));

        assertThat(node.disseminator.reportVersions(NodeId.of("first"), true))
                .isEqualTo(new PeerVersionReport(
                        NodeId.of("first"), true, ConfigurationVersion.of(6), ConfigurationVersion.of(7)));
    }

    @Test
    void shouldFetchAcrossRegionsFewTimesWhenAVersionIsAdvertisedToAWholeRegion() {
        FakeNetwork network = new FakeNetwork(5, "advertisement to a whole region");
        Node source = network.add("south", "south-1");
        source.holder.adopt(Samples.snapshot(1));
        source.holder.adopt(Samples.snapshot(2));
        for (int number = 0; number < 200; number++) {
            Node node = network.add("north", "north-" + number % 3);
            node.holder.adopt(Samples.snapshot(1));
            node.disseminator.recordAdvertisedVersion(source.address, ConfigurationVersion.of(2));
        }
        network.advance(CONVERGENCE_MILLISECONDS);

        network.checkAllHold(2);
        assertThat(network.crossRegionPayloads()).isAtMost(8);
    }

    /** A network of two zones in the platform's region, each with a relay, and two zones in another region. */
    private static final class TwoRegions {
        private final FakeNetwork network;
        private final Node firstRelay;
        private final Node secondRelay;

        private TwoRegions(long seed, String label) {
            network = new FakeNetwork(seed, label);
            firstRelay = network.add("south", "south-1");
            firstRelay.slot = OptionalInt.of(0);
            network.add("south", "south-1");
            network.add("south", "south-1");
            secondRelay = network.add("south", "south-2");
            secondRelay.slot = OptionalInt.of(1);
            network.add("south", "south-2");
            network.add("north", "north-1");
            network.add("north", "north-1");
            network.add("north", "north-2");
        }

        private void apply(Condition condition) {
            switch (condition) {
                case NONE -> network.isPartitioned = (_, _) -> false;
                case RELAY_FROZEN -> firstRelay.isFrozen = true;
                case FAR_REGION_CUT ->
                    network.isPartitioned =
                            (one, another) -> !one.locality.region().equals(another.locality.region());
                case ZONE_CUT -> network.isPartitioned = (one, another) -> isInFirstZone(one) != isInFirstZone(another);
            }
        }

        private void heal() {
            firstRelay.isFrozen = false;
            network.isPartitioned = (_, _) -> false;
        }

        private boolean isInFirstZone(Node node) {
            return node.locality.equals(firstRelay.locality);
        }
    }
}
