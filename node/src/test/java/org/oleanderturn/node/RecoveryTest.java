package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.ConfigurationTransport;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.distribution.PeerFailure;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.distribution.PushResponse;
import org.oleanderturn.distribution.ReadinessGate;
import org.oleanderturn.distribution.SnapshotHistory;
import org.oleanderturn.distribution.UpdateSource;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;

class RecoveryTest {
    private static final Locality ZONE = Locality.of("north", "launceston");
    private static final Locality ELSEWHERE = Locality.of("south", "hobart");
    private static final NodeId SELF = NodeId.of("self");

    private final Map<NodeId, PeerVersionReport> reports = new HashMap<>();
    private final Map<NodeId, Peer> peers = new HashMap<>();
    private final AtomicBoolean hasAttemptedJoin = new AtomicBoolean(true);
    private final ConfigurationHolder holder = ConfigurationHolder.empty();
    private final ReadinessGate readinessGate = ReadinessGate.create();
    private final PeerDirectory directory = () -> List.copyOf(peers.values());
    private final Recovery recovery = new Recovery(
            SELF,
            ZONE,
            directory,
            holder,
            readinessGate,
            disseminator(),
            this::requestVersionReports,
            hasAttemptedJoin::get,
            new SplittableRandom(1));

    @Test
    void shouldNotBeReadyWhenNothingVouchesForAVersion() {
        assertThat(recovery.step()).isFalse();
    }

    @Test
    void shouldNotBeReadyWhenNoJoinWasAttempted() {
        hasAttemptedJoin.set(false);
        readinessGate.observeHead(ConfigurationVersion.none());

        assertThat(recovery.step()).isFalse();
        hasAttemptedJoin.set(true);
        assertThat(recovery.step()).isTrue();
    }

    @Test
    void shouldBecomeReadyWhenAllNodesOfTheZoneRestartAtOnce() {
        peer("neighbour", ZONE, false, 0, 0);
        peer("far", ELSEWHERE, true, 0, 0);

        assertThat(recovery.step()).isTrue();
    }

    @Test
    void shouldWaitForTheNewestKnownVersionWhenPeersHoldAnOlderOne() {
        peer("neighbour", ZONE, true, 1, 2);
        hold(1);

        assertThat(recovery.step()).isFalse();
        hold(2);
        assertThat(recovery.step()).isTrue();
    }

    @Test
    void shouldWaitWhenAPeerOfTheZoneDoesNotAnswer() {
        peer("neighbour", ZONE, true, 0, 0);
        peer("silent", ZONE, true, 0, 0);
        reports.remove(NodeId.of("silent"));

        assertThat(recovery.step()).isFalse();
        peers.remove(NodeId.of("silent"));
        assertThat(recovery.step()).isTrue();
    }

    // -- helpers

    private void peer(String name, Locality locality, boolean isReady, long held, long newest) {
        NodeId node = NodeId.of(name);
        Address address = Address.of(name, 1);
        peers.put(node, new Peer(node, address, locality, ConfigurationVersion.of(held), true));
        reports.put(
                node,
                new PeerVersionReport(node, isReady, ConfigurationVersion.of(held), ConfigurationVersion.of(newest)));
    }

    private void hold(long version) {
        holder.adopt(ConfigurationSnapshot.of(ConfigurationVersion.of(version), Configuration.empty()));
    }

    private List<Either<ControlFailure, PeerVersionReport>> requestVersionReports(
            List<Address> addresses, NodeId requester) {
        assertThat(requester).isEqualTo(SELF);
        return addresses.stream().map(this::requestVersionReport).toList();
    }

    private Either<ControlFailure, PeerVersionReport> requestVersionReport(Address address) {
        PeerVersionReport report = reports.get(NodeId.of(address.host()));
        return report == null ? Either.left(new ControlFailure.AnswerLost("silent")) : Either.right(report);
    }

    private Disseminator disseminator() {
        return Disseminator.of(
                holder,
                UpdateSource.of(holder, SnapshotHistory.of(holder)),
                new UnreachablePeers(),
                directory,
                _ -> OptionalInt.empty(),
                ZONE,
                Region.of("south"),
                Runnable::run,
                new SplittableRandom(1));
    }

    /** A transport whose peers are all unreachable. */
    private static final class UnreachablePeers implements ConfigurationTransport {
        @Override
        public Either<PeerFailure, ConfigurationUpdate> fetch(
                Address peer, ConfigurationVersion held, Digest heldDigest) {
            return Either.left(new PeerFailure.Unreachable("fake"));
        }

        @Override
        public Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update) {
            return Either.left(new PeerFailure.Unreachable("fake"));
        }
    }
}
