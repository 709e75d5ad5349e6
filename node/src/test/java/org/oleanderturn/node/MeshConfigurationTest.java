package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.distribution.VersionListener;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.wire.WireFailure;

final class MeshConfigurationTest {
    private static final NodeSettings SETTINGS =
            SimulatedSettings.of(0, "node-0", SimulatedFleet.ZONES, ServiceName.of(SimulatedFleet.SERVICE));
    private static final PeerDirectory NOBODY = List::of;

    private final SimulatedTime time = new SimulatedTime();
    private final ZoneLeadership leadership = ZoneLeadership.of(SETTINGS.node(), SETTINGS.locality(), NOBODY);
    private final ControlChannel channel = ControlChannel.of(
            (peer, _, timeout) -> Either.left(new WireFailure.TimedOut(peer, timeout)),
            Runnable::run,
            SETTINGS.listen().control());
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
    private final List<Boolean> deniedWhileServing = new ArrayList<>();

    @Test
    void shouldServeByTheRoutesOfAVersionThatAPeerPushedBeforeTheTasksStarted() {
        MeshConfiguration configuration = configuration();
        plane.holder().adopt(snapshot(1));
        configuration.start(new SimulatedTasks(time, new SimulatedTime.Life()), _ -> {}, () -> {});
        makeReady();
        assertThat(configuration.isServing()).isTrue();
        assertThat(configuration.routes().snapshot()).isEqualTo(snapshot(1));
    }

    @Test
    void shouldDenyNoRouteWhenTheFirstVersionIsHeldAndItsRoutesAreNotBuilt() {
        List<MeshConfiguration> created = new ArrayList<>();
        plane.holder().addListener(_ -> {
            makeReady();
            deniedWhileServing.add(created.getFirst().isServing()
                    && created.getFirst()
                            .routes()
                            .find(FakeOperator.HOST, "GET", "/lookup/a")
                            .isEmpty());
        });
        created.add(configuration());
        created.getFirst().start(new SimulatedTasks(time, new SimulatedTime.Life()), _ -> {}, () -> {});
        plane.holder().adopt(snapshot(1));
        assertThat(deniedWhileServing).containsExactly(false);
    }

    @Test
    void shouldNotServeWhenNoVersionIsKnown() {
        MeshConfiguration configuration = configuration();
        plane.readinessGate().observeHead(ConfigurationVersion.none());
        plane.recovery().step();
        assertThat(plane.recovery().isReady()).isTrue();
        assertThat(configuration.isServing()).isFalse();
    }

    private MeshConfiguration configuration() {
        return new MeshConfiguration(
                SETTINGS,
                plane,
                NOBODY,
                leadership,
                new SimulatedStore(time, new SimulatedStore.Content()),
                channel,
                () -> false,
                time::nanoseconds,
                time::sleep,
                new SplittableRandom(2));
    }

    private void makeReady() {
        plane.readinessGate().observeHead(plane.holder().version());
        plane.recovery().step();
    }

    private static ConfigurationSnapshot snapshot(int version) {
        return FakeOperator.snapshot(version, SimulatedFleet.SERVICE, 1);
    }
}
