package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Counts what is done for clients that left at one stage of their requests, over simulated fleets whose cores are charged for
 * accepting, reading and sending. Some requests make their target call other targets.
 */
final class AbandonedStageFleetTest {
    private static final int FLEET_SIZE = 8;
    private static final int SLOTS = 4;
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final Duration DAY = Duration.ofSeconds(8);
    private static final int FIRST_SEED = Integer.getInteger("oleanderturn.firstSeed", 0);
    private static final int SEEDS = Integer.getInteger("oleanderturn.seeds", 1);
    private static final double CORE_SHARE = 0.3;
    private static final Duration ACCEPT_COST = Duration.ofNanos(500_000);
    private static final Duration READ_COST = Duration.ofMillis(1);
    private static final Duration SEND_COST = Duration.ofMillis(3);
    private static final int NEW_CONNECTIONS_PERCENT = 25;

    /** A little more than the slots can run, so that requests wait for slots and are refused. */
    private static final int REQUESTS_PER_SECOND = 180;

    /** How long after its client has left a request may still reach a target, or run there. */
    private static final long NOTICE_MILLISECONDS = 500;

    /** How much more time a target may be handed than its client has left. */
    private static final long HANDED_MILLISECONDS = 500;

    /** What happens meanwhile. */
    enum Disturbance {
        NONE,
        NODES_RESTART,
        NODES_STALL,
        CONNECTIONS_SILENT
    }

    private record Play(RequestStage stage, Disturbance disturbance, int seed) {}

    @ParameterizedTest
    @EnumSource(RequestStage.class)
    void shouldDoNothingForClientsThatLeftAtAStage(RequestStage stage) {
        List<Play> plays = Arrays.stream(Disturbance.values())
                .flatMap(disturbance -> IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                        .mapToObj(seed -> new Play(stage, disturbance, seed)))
                .toList();
        plays.parallelStream().forEach(play -> SimulatedTime.simulate(() -> check(play, play(play))));
    }

    private static void check(Play play, SimulatedFleet fleet) {
        assertWithMessage("%s: clients that left at the stage", play)
                .that(fleet.stages().left(play.stage()))
                .isAtLeast(20);
        assertBothWays(fleet);
        assertNone(
                play,
                fleet,
                "arrivals over half a second after their client left",
                arrival -> arrival.milliseconds() > fleet.departure(arrival.sending()) + NOTICE_MILLISECONDS);
        assertNone(play, fleet, "arrivals after the time limit", arrival -> arrival.milliseconds() > end(arrival));
        assertNone(
                play,
                fleet,
                "arrivals that were handed more time than is left",
                arrival -> arrival.milliseconds() + arrival.limitMilliseconds() > end(arrival) + HANDED_MILLISECONDS);
        List<SimulatedFleet.Run> lasting = fleet.runs().stream()
                .filter(SimulatedFleet.Run::isUndisturbed)
                .filter(run ->
                        run.endMilliseconds() > fleet.departure(run.arrival().sending()) + NOTICE_MILLISECONDS)
                .toList();
        assertWithMessage("%s: runs that go on for clients that have left", play)
                .that(lasting)
                .isEmpty();
    }

    /** Checks that requests went through one node and through two, and that calls of targets did. */
    private static void assertBothWays(SimulatedFleet fleet) {
        assertThat(fleet.arrivals().stream().anyMatch(AbandonedStageFleetTest::isThroughOneNode))
                .isTrue();
        assertThat(fleet.arrivals().stream().allMatch(AbandonedStageFleetTest::isThroughOneNode))
                .isFalse();
        assertThat(fleet.arrivals().stream().anyMatch(arrival -> arrival.path().contains("call")))
                .isTrue();
    }

    private static boolean isThroughOneNode(SimulatedFleet.Arrival arrival) {
        return arrival.host() == arrival.sending().entry();
    }

    private static long end(SimulatedFleet.Arrival arrival) {
        return arrival.sending().milliseconds() + arrival.sending().limitMilliseconds();
    }

    private static void assertNone(
            Play play, SimulatedFleet fleet, String description, Predicate<SimulatedFleet.Arrival> isWrong) {
        List<SimulatedFleet.Arrival> wrong = fleet.arrivals().stream()
                .filter(SimulatedFleet.Arrival::isEntryUndisturbed)
                .filter(isWrong)
                .toList();
        assertWithMessage("%s: %s, of %s", play, description, fleet.arrivals().size())
                .that(wrong)
                .isEmpty();
    }

    // -- plays

    private static SimulatedFleet play(Play play) {
        SimulatedFleet fleet = new SimulatedFleet(FLEET_SIZE, SLOTS, MAXIMUM_ATTEMPTS, play.seed());
        fleet.setNewConnections(NEW_CONNECTIONS_PERCENT);
        fleet.hosts().forEach(host -> {
            host.setCore(CORE_SHARE, READ_COST, SEND_COST);
            host.setAcceptCost(ACCEPT_COST);
        });
        for (long request = 0; request < REQUESTS_PER_SECOND * DAY.toSeconds(); request++) {
            Duration delay = Duration.ofMillis(fleet.random().nextLong(DAY.toMillis()));
            String path = (request % 5 == 0 ? "/lookup/parent-" : "/lookup/") + request;
            if (request % 3 == 0) {
                fleet.clients().sendAndLeaveAt(delay, path, play.stage());
            } else {
                fleet.sendOnce(delay, path);
            }
        }
        disturb(fleet, play.disturbance());
        fleet.run(DAY.plus(SimulatedFleet.CLIENT_TIMEOUT).plusSeconds(2));
        return fleet;
    }

    private static void disturb(SimulatedFleet fleet, Disturbance disturbance) {
        for (int second = 1; second < DAY.toSeconds(); second += 2) {
            SimulatedHost host = fleet.host(fleet.random().nextInt(FLEET_SIZE));
            Duration time = Duration.ofSeconds(second);
            switch (disturbance) {
                case NONE -> {}
                case NODES_RESTART -> fleet.at(time, () -> fleet.endNode(host.number()));
                case NODES_STALL -> fleet.at(time, () -> host.stall(Duration.ofMillis(900)));
                case CONNECTIONS_SILENT -> {
                    fleet.at(time, () -> host.setSilent(true));
                    fleet.at(time.plusSeconds(1), () -> host.setSilent(false));
                }
            }
        }
    }
}
