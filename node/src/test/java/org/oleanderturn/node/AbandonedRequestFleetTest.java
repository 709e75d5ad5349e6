package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Counts what is done for clients that have left, over whole simulated fleets whose cores are charged for every request that
 * they read.
 */
final class AbandonedRequestFleetTest {
    private static final int FLEET_SIZE = 12;
    private static final int SLOTS = 9;
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final Duration DAY = Duration.ofSeconds(12);
    private static final int FIRST_SEED = Integer.getInteger("oleanderturn.firstSeed", 0);
    private static final int SEEDS = Integer.getInteger("oleanderturn.seeds", 2);
    private static final double CORE_SHARE = 0.3;
    private static final Duration READ_COST = Duration.ofMillis(1);
    private static final Duration SEND_COST = Duration.ofMillis(3);

    /** How long after its client has left a request may still reach a target, or run there. */
    private static final long NOTICE_MILLISECONDS = 500;

    /** What the nodes can bear: a third of it, more, and three times as much. */
    enum Load {
        LOW(0.33),
        HIGH(0.9),
        OVERLOAD(1.5),
        FLOOD(3.0);

        private final double factor;

        Load(double factor) {
            this.factor = factor;
        }

        /** Returns the requests of a day; each is read and sent on at two nodes. */
        private long requests() {
            double perSecond =
                    FLEET_SIZE * CORE_SHARE / (2 * READ_COST.plus(SEND_COST).toNanos() / 1e9);
            return Math.round(perSecond * factor * DAY.toSeconds());
        }
    }

    /** What happens meanwhile. */
    enum Disturbance {
        NONE,
        NODES_RESTART,
        TARGETS_SLOW
    }

    private record Play(Disturbance disturbance, int seed) {}

    @ParameterizedTest
    @EnumSource(Load.class)
    void shouldBeginNothingForClientsThatHaveLeft(Load load) {
        forEachPlay(load, (play, fleet) -> {
            List<SimulatedFleet.Arrival> late = fleet.arrivals().stream()
                    .filter(SimulatedFleet.Arrival::isEntryUndisturbed)
                    .filter(arrival ->
                            arrival.milliseconds() > fleet.departure(arrival.sending()) + NOTICE_MILLISECONDS)
                    .toList();
            assertWithMessage(
                            "%s: arrivals over half a second after their client left, of %s",
                            play, fleet.arrivals().size())
                    .that(late)
                    .isEmpty();
        });
    }

    @ParameterizedTest
    @EnumSource(Load.class)
    void shouldSendNothingToTargetsAfterTheTimeLimit(Load load) {
        forEachPlay(load, (play, fleet) -> {
            List<SimulatedFleet.Arrival> late = fleet.arrivals().stream()
                    .filter(SimulatedFleet.Arrival::isEntryUndisturbed)
                    .filter(arrival -> arrival.milliseconds()
                            > arrival.sending().milliseconds() + SimulatedFleet.CLIENT_TIMEOUT.toMillis())
                    .toList();
            assertWithMessage(
                            "%s: arrivals after the time limit of their client, of %s",
                            play, fleet.arrivals().size())
                    .that(late)
                    .isEmpty();
        });
    }

    @ParameterizedTest
    @EnumSource(Load.class)
    void shouldEndRunsForClientsThatHaveLeft(Load load) {
        forEachPlay(load, (play, fleet) -> {
            List<SimulatedFleet.Run> lasting = fleet.runs().stream()
                    .filter(run -> run.arrival().isEntryUndisturbed())
                    .filter(run -> run.endMilliseconds()
                            > Math.max(
                                            fleet.departure(run.arrival().sending()),
                                            run.arrival().milliseconds())
                                    + NOTICE_MILLISECONDS)
                    .filter(run -> run.endMilliseconds()
                            > fleet.departure(run.arrival().sending()) + NOTICE_MILLISECONDS)
                    .toList();
            assertWithMessage(
                            "%s: runs that go on for clients that have left, of %s",
                            play, fleet.runs().size())
                    .that(lasting)
                    .isEmpty();
        });
    }

    // -- plays

    private interface Check {
        void apply(Play play, SimulatedFleet fleet);
    }

    private static void forEachPlay(Load load, Check check) {
        Stream.of(Disturbance.values())
                .flatMap(disturbance ->
                        IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).mapToObj(seed -> new Play(disturbance, seed)))
                .toList()
                .parallelStream()
                .forEach(play -> SimulatedTime.simulate(() -> check.apply(play, play(load, play))));
    }

    private static SimulatedFleet play(Load load, Play play) {
        SimulatedFleet fleet = new SimulatedFleet(FLEET_SIZE, SLOTS, MAXIMUM_ATTEMPTS, play.seed());
        fleet.hosts().forEach(host -> host.setCore(CORE_SHARE, READ_COST, SEND_COST));
        for (long request = 0; request < load.requests(); request++) {
            Duration delay = Duration.ofMillis(fleet.random().nextLong(DAY.toMillis()));
            // A third of the clients leave early, at any stage.
            Duration patience = fleet.random().nextInt(3) == 0
                    ? Duration.ofMillis(fleet.random().nextLong(10, 2_000))
                    : SimulatedFleet.CLIENT_TIMEOUT;
            fleet.sendAndLeave(delay, "/lookup/" + request, patience);
        }
        disturb(fleet, play.disturbance());
        fleet.run(DAY.plus(SimulatedFleet.CLIENT_TIMEOUT).plusSeconds(2));
        return fleet;
    }

    private static void disturb(SimulatedFleet fleet, Disturbance disturbance) {
        for (int second = 2; second < DAY.toSeconds(); second += 2) {
            int host = fleet.random().nextInt(FLEET_SIZE);
            Duration time = Duration.ofSeconds(second);
            switch (disturbance) {
                case NONE -> {}
                case NODES_RESTART -> fleet.at(time, () -> fleet.endNode(host));
                case TARGETS_SLOW ->
                    fleet.at(time, () -> fleet.host(host).target().setSpeed(0.1));
            }
        }
    }
}
