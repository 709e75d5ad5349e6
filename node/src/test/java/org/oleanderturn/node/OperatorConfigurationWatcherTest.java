package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.distribution.VersionListener;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.platform.FakePlatformStore;
import org.oleanderturn.platform.OperatorConfiguration;
import org.oleanderturn.platform.PlatformStore;
import org.oleanderturn.platform.UnknownWord;
import org.oleanderturn.store.StoreSettings;
import org.oleanderturn.wire.WireFailure;

final class OperatorConfigurationWatcherTest {
    private static final NodeSettings SETTINGS =
            SimulatedSettings.of(0, "node-0", SimulatedFleet.ZONES, ServiceName.of(SimulatedFleet.SERVICE));
    private static final PeerDirectory NOBODY = List::of;
    private static final String SERVICE = "orders";

    private final SimulatedTime time = new SimulatedTime();
    private final ZoneLeadership leadership = ZoneLeadership.of(SETTINGS.node(), SETTINGS.locality(), NOBODY);
    private final ControlChannel channel = ControlChannel.of(
            (peer, _, timeout) -> Either.left(new WireFailure.TimedOut(peer, timeout)),
            Runnable::run,
            SETTINGS.listen().control());
    private final FakePlatformStore stored = FakePlatformStore.start();
    private final PlatformStore store = PlatformStore.of(StoreSettings.of(stored.address()));
    private final ConfigurationPlane plane = new ConfigurationPlane(
            SETTINGS,
            NOBODY,
            leadership,
            channel,
            channel,
            Runnable::run,
            () -> true,
            VersionListener.none(),
            time::milliseconds,
            new SplittableRandom(1));
    private final OperatorConfigurationWatcher watcher = new OperatorConfigurationWatcher(
            store,
            plane.holder(),
            plane.readinessGate(),
            leadership,
            () -> false,
            () -> true,
            () -> false,
            time::nanoseconds,
            time::sleep,
            new SplittableRandom(2));

    @BeforeEach
    void passSearchTime() {
        time.run(Duration.ofSeconds(5));
    }

    @AfterEach
    void close() {
        store.close();
        stored.close();
    }

    @Test
    void shouldKeepTheVersionInForceAndSaySoWhenANewerOneIsMalformed() {
        FakeOperator.configure(stored, 1, SERVICE, 1);
        watcher.runOnce();
        write(2, "3000ms", "soon");
        watcher.runOnce();
        assertThat(plane.holder().version()).isEqualTo(ConfigurationVersion.of(1));
        assertThat(watcher.unreadable().orElseThrow().path()).matches("virtual_hosts\\[0].paths\\[\\d].timeout");
        assertThat(watcher.isReading()).isFalse();
        // The version held is not the newest any more, so no request may be denied by it.
        assertThat(watcher.confirmation()).isEmpty();
    }

    @Test
    void shouldTakeTheNextVersionWhenItIsWellFormedAgain() {
        write(1, "3000ms", "soon");
        watcher.runOnce();
        assertThat(plane.holder().version()).isEqualTo(ConfigurationVersion.none());
        assertThat(watcher.unreadable()).isPresent();
        FakeOperator.configure(stored, 2, SERVICE, 1);
        watcher.runOnce();
        assertThat(plane.holder().version()).isEqualTo(ConfigurationVersion.of(2));
        assertThat(watcher.unreadable()).isEmpty();
        assertThat(watcher.isReading()).isTrue();
    }

    @Test
    void shouldServeAtTheFirstStartWhenARouteIsOfAnUnknownKind() {
        write(1, "\"download\"", "\"mirror\"");
        watcher.runOnce();
        RouteIndex routes = RouteIndex.of(plane.holder().held());
        assertThat(routes.find(FakeOperator.HOST, "GET", "/lookup/a")).isPresent();
        assertThat(routes.find(FakeOperator.HOST, "GET", "/download/a")
                        .orElseThrow()
                        .route()
                        .kind())
                .isEqualTo(RequestKind.SINGLE);
        assertThat(watcher.unknownWords()).hasSize(1);
        assertThat(watcher.unknownWords().getFirst())
                .isEqualTo(new UnknownWord("virtual_hosts[0].paths[3].kind", "mirror", "SINGLE"));
    }

    @Test
    void shouldTakeAChangeWhenARouteIsOfAnUnknownKind() {
        FakeOperator.configure(stored, 1, SERVICE, 1);
        watcher.runOnce();
        write(2, "\"download\"", "\"mirror\"");
        watcher.runOnce();
        assertThat(plane.holder().version()).isEqualTo(ConfigurationVersion.of(2));
        assertThat(watcher.isReading()).isTrue();
        FakeOperator.configure(stored, 3, SERVICE, 1);
        watcher.runOnce();
        assertThat(watcher.unknownWords()).isEmpty();
    }

    // Guards against the values of all missed versions in one response, which can fill the link to the store for
    // seconds.
    @Test
    void shouldReadOnlyTheNewestVersionWhenOtherNodesHavePassedOnNewerOnes() {
        FakeOperator.configure(stored, 1, SERVICE, 1);
        watcher.runOnce();
        for (int version = 2; version <= 4; version++) {
            FakeOperator.configure(stored, version, SERVICE, 1);
        }
        adoptFromAnotherNode(4);
        watcher.runOnce();
        assertThat(stored.watches()).isEqualTo(0);
        assertThat(watcher.confirmation().orElseThrow().version()).isEqualTo(ConfigurationVersion.of(4));
    }

    // Guards against reading the value again and again from a store that came back from an older copy.
    @Test
    void shouldReadOnceForEachVersionOfOtherNodesWhenTheStoreDoesNotHaveIt() {
        FakeOperator.configure(stored, 1, SERVICE, 1);
        watcher.runOnce();
        adoptFromAnotherNode(4);
        watcher.runOnce();
        FakeOperator.configure(stored, 5, SERVICE, 1);
        watcher.runOnce();
        assertThat(stored.reads()).isEqualTo(2);
        assertThat(watcher.confirmation().orElseThrow().version()).isEqualTo(ConfigurationVersion.of(5));
    }

    private void adoptFromAnotherNode(int version) {
        plane.holder()
                .adopt(OperatorConfiguration.decode(FakeOperator.value(version, SERVICE, 1))
                        .get()
                        .snapshot());
    }

    private void write(int version, String text, String replacement) {
        String value = new String(FakeOperator.value(version, SERVICE, 1), StandardCharsets.UTF_8);
        stored.write(OperatorConfiguration.KEY, value.replace(text, replacement).getBytes(StandardCharsets.UTF_8));
    }
}
