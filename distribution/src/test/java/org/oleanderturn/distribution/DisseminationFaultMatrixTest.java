package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
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

/** Every fault at every message of the spread of three versions over two regions. */
class DisseminationFaultMatrixTest {
    private static final int MESSAGES = 16;
    private static final long CONVERGENCE_MILLISECONDS = 15_000;
    private static final long REPAIR_MILLISECONDS = 60_000;

    /** What else goes wrong. */
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
    void shouldNeverGoBackAndConvergeWhenFaultsMeet(int message, Fault fault, Condition condition) {
        FaultMatrix.cell("spread", "message " + message, fault + "/" + condition, "never back; all converge", () -> {
            for (Fault second : Fault.values()) {
                run(message, fault, second, condition);
            }
        });
    }

    private static void run(int message, Fault fault, Fault second, Condition condition) {
        TwoRegions places = new TwoRegions(message * 31L + fault.name().hashCode(), fault + " then " + second);
        FakeNetwork network = places.network;
        network.injectFault(message, fault);
        network.injectFault(message + 1, second);
        places.relay.holder.adopt(Samples.snapshot(1));
        network.settle();
        places.disturb(condition);
        places.other.holder.adopt(Samples.snapshot(2));
        network.settle();
        places.other.holder.adopt(Samples.snapshot(3));
        network.settle();
        network.deliverDelayed();
        network.advance(5_000);
        places.heal();
        network.advance(REPAIR_MILLISECONDS);
        network.deliverDelayed();
        network.check();
        network.checkAllHold(3);
    }

    // -- named cases

    @Test
    void shouldHoldEverywhereWithinTheBoundWhenNothingFails() {
        for (long seed = 0; seed < 20; seed++) {
            TwoRegions places = new TwoRegions(seed, "no fault");
            places.relay.holder.adopt(Samples.snapshot(1));
            places.network.settle();
            places.network.advance(CONVERGENCE_MILLISECONDS);
            places.network.checkAllHold(1);
        }
    }

    @Test
    void shouldLeaveOthersAloneWhenAFrozenRelayPushesWhatItHad() {
        TwoRegions places = new TwoRegions(1, "frozen relay");
        places.relay.holder.adopt(Samples.snapshot(1));
        places.network.settle();
        places.relay.holder.adopt(Samples.snapshot(2));
        places.relay.isFrozen = true;
        places.other.holder.adopt(Samples.snapshot(3));
        places.network.settle();
        places.network.advance(CONVERGENCE_MILLISECONDS);

        places.relay.isFrozen = false;
        places.relay.disseminator.disseminate(places.network.nowMilliseconds);
        places.network.check();
        assertThat(places.relay.disseminator.isPullDue()).isTrue();
        places.network.advance(500);

        places.network.checkAllHold(3);
    }

    @Test
    void shouldFallBackToTheSnapshotWhenADeltaLeadsElsewhere() {
        TwoRegions places = new TwoRegions(2, "forged delta");
        Node node = places.other;
        node.holder.adopt(Samples.snapshot(1));
        ConfigurationDelta good = ConfigurationDelta.between(Samples.snapshot(1), Samples.snapshot(2));
        ConfigurationDelta forged = new ConfigurationDelta(
                good.from(),
                good.base(),
                good.to(),
                Samples.snapshot(9).digest(),
                good.changed(),
                good.removedServices(),
                good.removedRoutes(),
                good.removedTrafficPolicies());

        assertThat(node.disseminator.receive(places.relay.address, new ConfigurationUpdate.Delta(forged)))
                .isInstanceOf(PushResponse.Behind.class);
        places.relay.holder.adopt(Samples.snapshot(2));
        node.disseminator.recordAdvertisedVersion(places.relay.address, ConfigurationVersion.of(2));
        node.disseminator.pull(0);

        assertThat(node.holder.held()).isEqualTo(Samples.snapshot(2));
    }

    @Test
    void shouldSendTheContentAcrossRegionsOnceWhenManyRelaysOfferIt() {
        FakeNetwork network = new FakeNetwork(3, "paid link");
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

    /** All nodes of a zone come back at once and one of them has the configuration. */
    @Test
    void shouldRationSnapshotsWhenAHerdComesBack() {
        FakeNetwork network = new FakeNetwork(4, "herd");
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

    /** A version that this node rejects is mentioned by every message that it gets. */
    @Test
    void shouldNotFetchAgainAtOnceWhenAVersionWasRejected() {
        ConfigurationSnapshot forged = new ConfigurationSnapshot(
                ConfigurationVersion.of(2),
                Samples.services(1, 1),
                Samples.snapshot(9).digest());
        CorruptingPeer forger = new CorruptingPeer(forged);
        ConfigurationHolder holder = ConfigurationHolder.empty();
        UpdateSource source = UpdateSource.of(holder, SnapshotHistory.of(holder));
        Locality locality = Locality.of("south", "south-1");
        Disseminator spreader = Disseminator.of(
                holder,
                source,
                forger,
                forger,
                _ -> OptionalInt.of(0),
                locality,
                FakeNetwork.PLATFORM_REGION,
                new Random(6));
        for (long nowMilliseconds = 0; nowMilliseconds < 10_000; nowMilliseconds += 100) {
            spreader.recordAdvertisedVersion(CorruptingPeer.ADDRESS, forged.version());
            spreader.pull(nowMilliseconds);
        }

        assertThat(forger.fetches).isEqualTo(1);
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.none());
    }

    /** Answers each fetch with a snapshot that is not intact. */
    private static final class CorruptingPeer implements ConfigurationTransport, PeerDirectory {
        private static final Address ADDRESS = Address.of("127.0.0.1", 1);
        private final ConfigurationSnapshot forged;
        private int fetches;

        private CorruptingPeer(ConfigurationSnapshot forged) {
            this.forged = forged;
        }

        @Override
        public List<Peer> peers() {
            return List.of();
        }

        @Override
        public Either<PeerFailure, ConfigurationUpdate> fetch(
                Address peer, ConfigurationVersion held, Digest heldDigest) {
            fetches++;
            return Either.right(new ConfigurationUpdate.Snapshot(forged));
        }

        @Override
        public Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update) {
            return Either.left(new PeerFailure.TimedOut());
        }
    }

    @Test
    void shouldRememberForOthersWhenItHeardOfANewerVersionThanItHolds() {
        FakeNetwork network = new FakeNetwork(7, "memory");
        Node node = network.add("south", "south-1");
        node.holder.adopt(Samples.snapshot(6));
        node.disseminator.recordAdvertisedVersion(Address.of("127.0.0.1", 9_999), ConfigurationVersion.of(7));

        assertThat(node.disseminator.reportVersions(NodeId.of("first"), true))
                .isEqualTo(new PeerVersionReport(
                        NodeId.of("first"), true, ConfigurationVersion.of(6), ConfigurationVersion.of(7)));
    }

    @Test
    void shouldFetchAcrossRegionsFewTimesWhenAWholeRegionHearsOfAVersion() {
        FakeNetwork network = new FakeNetwork(5, "hearsay across regions");
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

    /** Two zones of the platform's region, with a relay each, and two zones of the far region. */
    private static final class TwoRegions {
        private final FakeNetwork network;
        private final Node relay;
        private final Node other;

        private TwoRegions(long seed, String label) {
            network = new FakeNetwork(seed, label);
            relay = network.add("south", "south-1");
            relay.slot = OptionalInt.of(0);
            network.add("south", "south-1");
            network.add("south", "south-1");
            other = network.add("south", "south-2");
            other.slot = OptionalInt.of(1);
            network.add("south", "south-2");
            network.add("north", "north-1");
            network.add("north", "north-1");
            network.add("north", "north-2");
        }

        private void disturb(Condition condition) {
            switch (condition) {
                case NONE -> network.isPartitioned = (_, _) -> false;
                case RELAY_FROZEN -> relay.isFrozen = true;
                case FAR_REGION_CUT ->
                    network.isPartitioned =
                            (one, another) -> !one.locality.region().equals(another.locality.region());
                case ZONE_CUT -> network.isPartitioned = (one, another) -> isInFirstZone(one) != isInFirstZone(another);
            }
        }

        private void heal() {
            relay.isFrozen = false;
            network.isPartitioned = (_, _) -> false;
        }

        private boolean isInFirstZone(Node node) {
            return node.locality.equals(relay.locality);
        }
    }
}
