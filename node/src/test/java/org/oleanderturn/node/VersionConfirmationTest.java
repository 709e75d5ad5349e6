package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.VersionListener;
import org.oleanderturn.mesh.VersionStatus;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;
import org.oleanderturn.wire.WireFailure;

final class VersionConfirmationTest {
    private static final NodeSettings SETTINGS =
            SimulatedSettings.of(0, "node-0", SimulatedFleet.ZONES, ServiceName.of(SimulatedFleet.SERVICE));
    private static final Address RELAY = Address.of("127.0.0.1", 1);
    private static final ControlChannel SILENT_CHANNEL = ControlChannel.of(
            (peer, _, timeout) -> Either.left(new WireFailure.TimedOut(peer, timeout)), Runnable::run, RELAY);
    private static final ConfigurationVersion FIRST = ConfigurationVersion.of(1);
    private static final ConfigurationVersion SECOND = ConfigurationVersion.of(2);

    private final SimulatedTime time = new SimulatedTime();
    private final WaitingStore store = new WaitingStore();
    private final List<Peer> peers = new ArrayList<>();
    private final ZoneLeadership leadership = ZoneLeadership.of(SETTINGS.node(), SETTINGS.locality(), () -> peers);
    private final ConfigurationPlane plane = new ConfigurationPlane(
            SETTINGS,
            () -> peers,
            leadership,
            SILENT_CHANNEL,
            SILENT_CHANNEL,
            Runnable::run,
            () -> true,
            VersionListener.none(),
            time::milliseconds,
            new SplittableRandom(1));
    private Either<ControlFailure, RelayReport> relayAnswer = Either.left(new ControlFailure.Unreachable("down"));
    private final RelayCheck relayCheck = new RelayCheck(
            leadership, (_, _) -> relayAnswer, plane.disseminator(), () -> false, () -> 1, time::nanoseconds);
    private final OperatorConfigurationWatcher watcher = new OperatorConfigurationWatcher(
            store,
            plane.holder(),
            plane.readinessGate(),
            leadership,
            () -> false,
            () -> true,
            relayCheck::isSupplied,
            time::nanoseconds,
            time::sleep,
            new SplittableRandom(2));
    private final VersionConfirmation confirmation =
            new VersionConfirmation(plane.disseminator(), watcher, relayCheck, time::nanoseconds);

    @Test
    void shouldConfirmTheVersionThatTheStoreHasJustReturned() {
        readFirstVersion();
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Newest());
    }

    @Test
    void shouldConfirmAgainWhenAWatchEndedWithoutNews() {
        readFirstVersion();
        time.run(Duration.ofSeconds(2));
        assertThat(confirmation.report(false).confirmationAgeMilliseconds()).isEmpty();
        store.watchTime = Duration.ofMillis(4_200);
        watcher.runOnce();
        // Dated to the end of the wait that was asked for (0.4 s after a version), so too old by now.
        assertThat(confirmation.report(false).confirmationAgeMilliseconds()).isEmpty();
        assertThat(confirmation.confirmationAge()).isEqualTo(Optional.of(Duration.ofMillis(3_800)));
    }

    /** The nodes of a zone read the store themselves unless its relay keeps confirming its version. */
    @Test
    void shouldConfirmOftenWhileNothingChanges() {
        readFirstVersion();
        store.watchTime = Duration.ofMillis(910);
        for (int watch = 0; watch < 5; watch++) {
            time.run(Duration.ofMillis(watcher.runOnce()));
            assertThat(confirmation.report(false).confirmationAgeMilliseconds().orElse(Long.MAX_VALUE))
                    .isLessThan(RelayCheck.SUPPLY_VALIDITY.toMillis() / 2);
        }
        assertThat(store.checks).isEqualTo(0);
    }

    /** The answer of a watch that has waited says nothing of when it was made. */
    @Test
    void shouldConfirmAtOnceWhenAVersionCameLate() {
        readFirstVersion();
        time.run(Duration.ofSeconds(2));
        store.watchTime = Duration.ofMillis(600);
        store.isChanged = true;
        watcher.runOnce();
        assertThat(store.checks).isEqualTo(1);
        assertThat(confirmation.report(false).confirmationAgeMilliseconds()).isEqualTo(Optional.of(0L));
    }

    @Test
    void shouldAskTheStoreOnceWhenManyRequestsHaveToBeDenied() {
        readFirstVersion();
        time.run(Duration.ofSeconds(2));
        for (int request = 0; request < 100; request++) {
            assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Newest());
            assertThat(confirmation.report(true).confirmationAgeMilliseconds()).isPresent();
        }
        assertThat(store.checks).isEqualTo(1);
    }

    @Test
    void shouldNotAskTheStoreWhenNoRequestHasToBeDenied() {
        readFirstVersion();
        time.run(Duration.ofSeconds(4));
        assertThat(confirmation.report(false).confirmationAgeMilliseconds()).isEmpty();
        assertThat(store.checks).isEqualTo(0);
    }

    @Test
    void shouldNotConfirmAVersionWhenTheStoreHoldsANewerOneThatWasNotReadYet() {
        readFirstVersion();
        time.run(Duration.ofSeconds(2));
        store.revision = 2;
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Unconfirmed());
        assertThat(confirmation.report(true).confirmationAgeMilliseconds()).isEmpty();
    }

    @Test
    void shouldNotConfirmAVersionWhenAWatchEndedEarly() {
        readFirstVersion();
        time.run(Duration.ofSeconds(2));
        store.watchTime = Duration.ofMillis(5);
        watcher.runOnce();
        assertThat(confirmation.report(false).confirmationAgeMilliseconds()).isEmpty();
    }

    @Test
    void shouldNotConfirmAVersionWhenTheStoreIsAway() {
        readFirstVersion();
        time.run(Duration.ofSeconds(2));
        store.isAvailable = false;
        watcher.runOnce();
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Unconfirmed());
        store.isAvailable = true;
        watcher.runOnce();
        time.run(Duration.ofMillis(100));
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Newest());
    }

    @Test
    void shouldNotTrustAConfirmationThatIsTooOld() {
        readFirstVersion();
        time.run(Duration.ofMillis(1_400));
        assertThat(confirmation.check(FIRST)).isEqualTo(new VersionStatus.Newest());
        time.run(Duration.ofMillis(200));
        store.isAvailable = false;
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
        time.run(Duration.ofSeconds(1));
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
        assertThat(confirmation.report(true)).isEqualTo(new RelayReport(FIRST, true, Optional.of(0L)));
        time.run(Duration.ofMillis(300));
        assertThat(confirmation.report(true)).isEqualTo(new RelayReport(FIRST, true, Optional.of(300L)));
        time.run(Duration.ofSeconds(10));
        store.isAvailable = false;
        assertThat(confirmation.report(true)).isEqualTo(new RelayReport(FIRST, false, Optional.empty()));
    }

    private void readFirstVersion() {
        // A node that has just started looks for the others first.
        time.run(Duration.ofSeconds(5));
        watcher.runOnce();
        assertThat(plane.holder().version()).isEqualTo(FIRST);
    }

    private void addRelay(ConfigurationVersion held, Optional<Long> confirmationAge) {
        peers.add(new Peer(NodeId.of("a"), RELAY, SETTINGS.locality(), held, true));
        relayAnswer = Either.right(new RelayReport(held, true, confirmationAge));
        relayCheck.runOnce();
    }

    /** Holds the first version; its watches last their whole wait in the test's time. */
    private final class WaitingStore implements Store {
        private Duration watchTime = Duration.ofSeconds(4);
        private boolean isAvailable = true;
        private boolean isChanged;
        private long revision = 1;
        private int checks;

        @Override
        public Either<StoreFailure, Optional<StoredValue>> get(String key) {
            return respond(Optional.of(StoredValue.of(key, 1, FakeOperator.value(1, "orders", 1))));
        }

        @Override
        public Either<StoreFailure, Optional<StoredValue>> watch(String key, long knownRevision, Duration wait) {
            if (isAvailable) {
                time.run(watchTime);
            }
            return isChanged ? get(key) : respond(Optional.empty());
        }

        @Override
        public Either<StoreFailure, Boolean> isUnchanged(String key, long knownRevision) {
            checks++;
            return respond(knownRevision == revision);
        }

        private <T> Either<StoreFailure, T> respond(T answer) {
            return isAvailable ? Either.right(answer) : Either.left(new StoreFailure.Unreachable("away"));
        }

        @Override
        public Either<StoreFailure, List<StoredValue>> list(String prefix) {
            throw new UnsupportedOperationException("not used here");
        }

        @Override
        public Either<StoreFailure, Long> compareAndSwap(String key, long expectedRevision, byte[] value) {
            throw new UnsupportedOperationException("not used here");
        }

        @Override
        public Either<StoreFailure, Long> compareAndSwapLeased(
                String key, long expectedRevision, byte[] value, LeaseId lease) {
            throw new UnsupportedOperationException("not used here");
        }

        @Override
        public Either<StoreFailure, Long> remove(String key, long expectedRevision) {
            throw new UnsupportedOperationException("not used here");
        }

        @Override
        public Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
            throw new UnsupportedOperationException("not used here");
        }

        @Override
        public Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
            throw new UnsupportedOperationException("not used here");
        }

        @Override
        public Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
            throw new UnsupportedOperationException("not used here");
        }
    }
}
