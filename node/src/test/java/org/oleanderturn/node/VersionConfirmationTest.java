package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.mesh.VersionStatus;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.platform.FakePlatformStore;
import org.oleanderturn.platform.PlatformStore;
import org.oleanderturn.store.StoreSettings;
import org.oleanderturn.wire.WireFailure;

final class VersionConfirmationTest {
    private static final NodeSettings SETTINGS = SimulatedHost.settings(0);
    private static final Address RELAY = Address.of("127.0.0.1", 1);
    private static final ConfigurationVersion FIRST = ConfigurationVersion.of(1);
    private static final ConfigurationVersion SECOND = ConfigurationVersion.of(2);

    private final FakePlatformStore stored = FakePlatformStore.start();
    private final PlatformStore store = PlatformStore.of(StoreSettings.of(stored.address()));
    private final SimulatedTime time = new SimulatedTime();
    private final List<Peer> peers = new ArrayList<>();
    private final ZoneLeadership leadership = ZoneLeadership.of(SETTINGS.node(), SETTINGS.locality(), () -> peers);
    private final ConfigurationPlane plane = new ConfigurationPlane(
            SETTINGS,
            () -> peers,
            leadership,
            ControlChannel.of(
                    (peer, _, timeout) -> Either.left(new WireFailure.TimedOut(peer, timeout)), Runnable::run, RELAY),
            ControlChannel.of(
                    (peer, _, timeout) -> Either.left(new WireFailure.TimedOut(peer, timeout)), Runnable::run, RELAY),
            () -> true,
            time::milliseconds,
            new SplittableRandom(1));
    private Either<ControlFailure, RelayReport> relayAnswer = Either.left(new ControlFailure.Unreachable("down"));
    private final RelayCheck relayCheck = new RelayCheck(leadership, (_, _) -> relayAnswer, plane.disseminator());
    private final OperatorConfigurationWatcher watcher = new OperatorConfigurationWatcher(
            store,
            plane.holder(),
            plane.readinessGate(),
            leadership,
            relayCheck::isSupplied,
            time::nanoseconds,
            new SplittableRandom(2));
    private final VersionConfirmation confirmation = new VersionConfirmation(
            store, plane.disseminator(), watcher, relayCheck, (_, _) -> relayAnswer, time::nanoseconds);

    @AfterEach
    void close() {
        store.close();
        stored.close();
    }

    @Test
    void shouldConfirmAVersionWhenTheStoreHasNoNewerOne() {
        readFirstVersion();
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Newest());
    }

    @Test
    void shouldNotConfirmAVersionWhenTheStoreHasANewerOne() {
        readFirstVersion();
        FakeOperator.configure(stored, 2, "orders", 1);
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Unconfirmed());
    }

    @Test
    void shouldNotConfirmAVersionWhenTheStoreIsAway() {
        readFirstVersion();
        stored.setAvailable(false);
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Unconfirmed());
        stored.setAvailable(true);
        time.run(Duration.ofSeconds(1));
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Newest());
    }

    @Test
    void shouldNotTrustAConfirmationThatIsTooOld() {
        readFirstVersion();
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Newest());
        stored.setAvailable(false);
        time.run(Duration.ofMillis(900));
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Newest());
        time.run(Duration.ofMillis(200));
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Unconfirmed());
    }

    @Test
    void shouldKnowThatItIsBehindWhenAPeerHasANewerVersion() {
        readFirstVersion();
        plane.disseminator().recordAdvertisedVersion(RELAY, SECOND);
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Behind(SECOND));
    }

    @Test
    void shouldBelieveTheRelayAndAgeItsConfirmation() {
        addRelay(FIRST, Optional.of(600L));
        plane.holder().adopt(FakeOperator.snapshot(1, "orders", 1));
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Newest());
        relayAnswer = Either.right(new RelayReport(FIRST, true, Optional.empty()));
        time.run(Duration.ofMillis(500));
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Unconfirmed());
    }

    @Test
    void shouldLearnFromTheRelayThatItIsBehind() {
        addRelay(SECOND, Optional.of(0L));
        plane.holder().adopt(FakeOperator.snapshot(1, "orders", 1));
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Behind(SECOND));
    }

    @Test
    void shouldTellTheZoneHowOldTheConfirmationOfARelayIs() {
        readFirstVersion();
        assertThat(confirmation.report(false)).isEqualTo(new RelayReport(FIRST, true, Optional.empty()));
        assertThat(confirmation.report(true)).isEqualTo(new RelayReport(FIRST, true, Optional.of(0L)));
        time.run(Duration.ofMillis(300));
        assertThat(confirmation.report(true)).isEqualTo(new RelayReport(FIRST, true, Optional.of(300L)));
        time.run(Duration.ofSeconds(10));
        assertThat(confirmation.report(false)).isEqualTo(new RelayReport(FIRST, false, Optional.empty()));
    }

    private void readFirstVersion() {
        FakeOperator.configure(stored, 1, "orders", 1);
        watcher.runOnce();
    }

    private void addRelay(ConfigurationVersion held, Optional<Long> confirmationAge) {
        peers.add(new Peer(NodeId.of("a"), RELAY, SETTINGS.locality(), held, true));
        relayAnswer = Either.right(new RelayReport(held, true, confirmationAge));
        relayCheck.runOnce();
    }
}
