package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.VersionListener;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.platform.FakePlatformStore;
import org.oleanderturn.platform.PlatformStore;
import org.oleanderturn.store.StoreSettings;
import org.oleanderturn.wire.WireFailure;

final class RelayCheckTest {
    private static final Locality HERE = Locality.of("south", "hobart");
    private static final NodeId SELF = NodeId.of("m");
    private static final int OLDER_VERSION = 1;
    private static final int NEWER_VERSION = 2;

    private static final Address RELAY = Address.of("127.0.0.1", 1);
    private WireFailure failure = new WireFailure.TimedOut(RELAY, Duration.ofSeconds(1));
    private final ControlChannel failingChannel =
            ControlChannel.of((_, _, _) -> Either.left(failure), Runnable::run, RELAY);
    private final List<Peer> peers = new ArrayList<>();
    private final SimulatedTime time = new SimulatedTime();
    private final ZoneLeadership leadership = ZoneLeadership.of(SELF, HERE, () -> peers);
    private final ConfigurationPlane plane = new ConfigurationPlane(
            SimulatedSettings.of(0, "node-0", SimulatedFleet.ZONES, ServiceName.of(SimulatedFleet.SERVICE)),
            () -> peers,
            leadership,
            failingChannel,
            failingChannel,
            Runnable::run,
            () -> true,
            VersionListener.none(),
            time::milliseconds,
            new SplittableRandom(3));
    private boolean isRelayUp = true;
    private boolean isRelayReading = true;
    private final Set<Address> unreachable = new HashSet<>();
    private Optional<Long> confirmationAge = Optional.of(0L);
    private boolean hasRead;
    private int routes = 10;
    private int relayVersion = OLDER_VERSION;
    private final RelayCheck check = new RelayCheck(
            leadership,
            (address, _) -> ask(address),
            plane.disseminator(),
            () -> hasRead,
            () -> routes,
            time::nanoseconds);

    @Test
    void shouldReadTheStoreWithinTwoSecondsWhenTheRelayEndedAndMembershipStillTrustsIt() {
        addRelay();
        ConfigurationHolder holder = plane.holder();
        holder.adopt(emptyVersion(OLDER_VERSION));
        try (FakePlatformStore stored = FakePlatformStore.start();
                PlatformStore store = PlatformStore.of(StoreSettings.of(stored.address()))) {
            OperatorConfigurationWatcher watcher = new OperatorConfigurationWatcher(
                    store,
                    holder,
                    plane.readinessGate(),
                    leadership,
                    () -> false,
                    () -> !peers.isEmpty(),
                    check::isSupplied,
                    time::nanoseconds,
                    time::sleep,
                    new SplittableRandom(1));
            time.run(Duration.ofSeconds(5));
            watcher.runOnce();
            FakeOperator.configure(stored, NEWER_VERSION, "orders", 1);
            long delay = check.runOnce() + watcher.runOnce();
            assertThat(holder.version()).isEqualTo(ConfigurationVersion.of(OLDER_VERSION));
            isRelayUp = false;
            while (holder.version().equals(ConfigurationVersion.of(OLDER_VERSION)) && delay < 2_000) {
                long pause = Math.min(check.runOnce(), watcher.runOnce());
                time.run(Duration.ofMillis(pause));
                delay += pause;
            }
            assertThat(holder.version()).isEqualTo(ConfigurationVersion.of(NEWER_VERSION));
            assertThat(delay).isLessThan(2_000L);
        }
    }

    @Test
    void shouldReadTheStoreWhenPeersSendWhatCannotBeDecoded() {
        addRelay();
        relayVersion = NEWER_VERSION;
        check.runOnce();
        plane.disseminator().pull(time.milliseconds());
        check.runOnce();
        assertThat(check.isSupplied()).isTrue();
        failure = new WireFailure.Malformed(RELAY, "unknown kind of request");
        check.runOnce();
        plane.disseminator().pull(time.milliseconds());
        check.runOnce();
        assertThat(check.isSupplied()).isFalse();
        plane.holder().adopt(emptyVersion(NEWER_VERSION));
        check.runOnce();
        assertThat(check.isSupplied()).isTrue();
    }

    @Test
    void shouldTrustTheRelayAgainWhenItAnswersAgain() {
        addRelay();
        plane.holder().adopt(emptyVersion(OLDER_VERSION));
        isRelayUp = false;
        check.runOnce();
        time.run(RelayCheck.SUPPLY_VALIDITY);
        assertThat(check.isSupplied()).isFalse();
        isRelayUp = true;
        time.run(Duration.ofSeconds(1));
        check.runOnce();
        assertThat(check.isSupplied()).isTrue();
    }

    /** A relay whose connection to the store hangs answers and notices nothing for seconds. */
    @Test
    void shouldNotTrustARelayWhenItsLastReadOfTheStoreIsLongAgo() {
        addRelay();
        plane.holder().adopt(emptyVersion(OLDER_VERSION));
        check.runOnce();
        isRelayReading = false;
        for (int run = 0; run < 4; run++) {
            confirmationAge = confirmationAge.map(age -> age + 400);
            time.run(Duration.ofMillis(400));
            assertThat(check.isSupplied()).isEqualTo(run < 3);
            check.runOnce();
        }
    }

    /** Otherwise all nodes of a zone would read a large version over the links on which their relay receives it. */
    @Test
    void shouldTrustARelayWhileItAdoptsAVersion() {
        addRelay();
        plane.holder().adopt(emptyVersion(OLDER_VERSION));
        check.runOnce();
        confirmationAge = Optional.empty();
        time.run(RelayCheck.SUPPLY_VALIDITY);
        check.runOnce();
        assertThat(check.isSupplied()).isTrue();
        time.run(RelayCheck.READER_VALIDITY);
        assertThat(check.isSupplied()).isFalse();
    }

    /** The values that all nodes of a zone read would delay the changes that those pass on which have read them. */
    @Test
    void shouldWaitLongerWhenTheConfigurationIsLargeAndOtherNodesReadItFirst() {
        for (int number = 1; number <= 4; number++) {
            Address address = Address.of("127.0.0.1", number);
            peers.add(new Peer(NodeId.of("a" + number), address, HERE, ConfigurationVersion.none(), true));
        }
        plane.holder().adopt(emptyVersion(OLDER_VERSION));
        check.runOnce();
        isRelayUp = false;
        time.run(RelayCheck.SUPPLY_VALIDITY);
        assertThat(check.isSupplied()).isFalse();
        routes = 1_000;
        assertThat(check.isSupplied()).isTrue();
        time.run(Duration.ofSeconds(1));
        assertThat(check.isSupplied()).isFalse();
    }

    /** A relay may end right after it has told of a version, before any node has got that from it. */
    @Test
    void shouldNotTrustARelayWhenItsVersionDoesNotArrive() {
        addRelay();
        plane.holder().adopt(emptyVersion(OLDER_VERSION));
        check.runOnce();
        relayVersion = NEWER_VERSION;
        time.run(Duration.ofMillis(600));
        check.runOnce();
        assertThat(check.isSupplied()).isTrue();
        isRelayUp = false;
        time.run(Duration.ofMillis(800));
        assertThat(check.isSupplied()).isFalse();
    }

    /** Any number of nodes may have ended at once, whichever they are. */
    @Test
    void shouldFindTheFirstNodeThatAnswersWhenSeveralDoNot() {
        for (int number = 1; number <= 4; number++) {
            Address address = Address.of("127.0.0.1", number);
            peers.add(new Peer(NodeId.of("a" + number), address, HERE, ConfigurationVersion.none(), true));
        }
        unreachable.addAll(peers.subList(0, 3).stream().map(Peer::address).toList());
        check.runOnce();
        assertThat(check.supplier()).isEqualTo(Optional.empty());
        check.runOnce();
        assertThat(check.supplier()).isEqualTo(Optional.of(peers.getLast()));
        unreachable.clear();
        time.run(Duration.ofSeconds(2));
        check.runOnce();
        assertThat(check.supplier()).isEqualTo(Optional.of(peers.getFirst()));
    }

    @Test
    void shouldAskNobodyWhenThisNodeIsTheRelay() {
        isRelayUp = false;
        check.runOnce();
        assertThat(check.supplier()).isEqualTo(Optional.empty());
        assertThat(leadership.isRelay(0)).isTrue();
    }

    @Test
    void shouldNotLeaveReadingToARelayThatTheStoreTurnsAway() {
        addRelay();
        plane.holder().adopt(emptyVersion(OLDER_VERSION));
        check.runOnce();
        assertThat(check.isSupplied()).isTrue();
        confirmationAge = Optional.empty();
        isRelayReading = false;
        check.runOnce();
        time.run(RelayCheck.SUPPLY_VALIDITY);
        assertThat(check.isSupplied()).isFalse();
    }

    /** An earlier node that joins may not read the store yet. */
    @Test
    void shouldKeepReadingTheStoreWhenThisNodeWasTheRelayAndTheNextOneHasConfirmedNothing() {
        hasRead = true;
        confirmationAge = Optional.empty();
        isRelayReading = false;
        addRelay();
        check.runOnce();
        assertThat(check.isSupplied()).isFalse();
    }

    @Test
    void shouldHearOfANewerVersionFromTheRelay() {
        addRelay();
        relayVersion = NEWER_VERSION;
        check.runOnce();
        assertThat(plane.disseminator().newestKnown()).isEqualTo(ConfigurationVersion.of(NEWER_VERSION));
    }

    private void addRelay() {
        peers.add(new Peer(NodeId.of("a"), RELAY, HERE, ConfigurationVersion.none(), true));
    }

    private Either<ControlFailure, RelayReport> ask(Address relay) {
        return isRelayUp && !unreachable.contains(relay)
                ? Either.right(new RelayReport(ConfigurationVersion.of(relayVersion), isRelayReading, confirmationAge))
                : Either.left(new ControlFailure.Unreachable("down"));
    }

    private static ConfigurationSnapshot emptyVersion(int version) {
        return ConfigurationSnapshot.of(
                ConfigurationVersion.of(version), Configuration.of(List.of(), List.of(), List.of()));
    }
}
