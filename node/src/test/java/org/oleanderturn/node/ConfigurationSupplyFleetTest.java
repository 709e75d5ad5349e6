package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks that every node in touch serves by a new version in time, whichever nodes are lost as it comes: a node must not
 * depend on any other one to hear of it.
 */
final class ConfigurationSupplyFleetTest {
    private static final ConfigurationFleet.Machine MACHINE = new ConfigurationFleet.Machine(0.6, 1_000);

    /** Small enough to lose every subset of its nodes. */
    private static final ConfigurationFleet.Shape TWO_ZONES =
            new ConfigurationFleet.Shape(8, 2, 0, MACHINE, MACHINE, 1);

    private static final ConfigurationFleet.Shape FOUR_ZONES =
            new ConfigurationFleet.Shape(60, 4, 0, MACHINE, MACHINE, 1);

    /** {@code config_apply} of the users' deployments. */
    private static final Duration APPLY_TIME = Duration.ofSeconds(2);

    private static final Duration SETTLING_TIME = Duration.ofSeconds(8);

    /** For how long nodes are lost; the version comes within it, and the rule binds the others after it. */
    private static final Duration LOSS = Duration.ofSeconds(5);

    /** When the version comes, after the loss. */
    private static final int LATEST_VERSION_MILLISECONDS = 3_000;

    private static final Duration DAY = Duration.ofSeconds(7);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(40);
    private static final int ROUTES = 12;
    private static final int LARGE_FLEET_LOSSES = 24;

    /** How nodes are lost to the others. */
    enum Loss {
        /** They vanish without a sign to any node. */
        OF_POWER,
        /** They answer other nodes and wait for the store, which answers them nothing. */
        OF_THE_STORE
    }

    /** Guards against late versions when the first nodes of each zone lose power, as review/4 shows. */
    @ParameterizedTest
    @EnumSource(Loss.class)
    void shouldServeByANewVersionInTimeWhicheverNodesAreLost(Loss loss) {
        int nodes = TWO_ZONES.nodes();
        List<String> failures = IntStream.range(1, (1 << nodes) - 1)
                .parallel()
                .mapToObj(subset -> play(TWO_ZONES, loss, members(subset, nodes), subset))
                .flatMap(List::stream)
                .toList();
        assertWithMessage(String.join("\n", failures)).that(failures).isEmpty();
    }

    /** The nodes that would be relays next are the first of each zone, and a fleet may lose any number of them. */
    @ParameterizedTest
    @EnumSource(Loss.class)
    void shouldServeByANewVersionInTimeWhenTheFirstNodesOfEachZoneAreLost(Loss loss) {
        List<String> failures = IntStream.range(1, LARGE_FLEET_LOSSES)
                .parallel()
                .mapToObj(ranks -> play(FOUR_ZONES, loss, firstNodes(ranks % 14 + 1), ranks))
                .flatMap(List::stream)
                .toList();
        assertWithMessage(String.join("\n", failures)).that(failures).isEmpty();
    }

    /** The load is a calm day; calls to the store are priced, and a node that is supplied makes none to read. */
    @Test
    void shouldLeaveReadingToTheRelaysWhenNothingIsLost() {
        int[] calls = new int[1];
        SimulatedTime.simulate(() -> {
            ConfigurationFleet fleet = start(FOUR_ZONES, 0);
            int before = fleet.store().calls();
            fleet.time().run(Duration.ofSeconds(20));
            calls[0] = fleet.store().calls() - before;
        });
        // In each zone one watch of 0.9 s after the other.
        assertWithMessage("calls in 20 s").that(calls[0]).isAtMost(4 * 23);
    }

    /** Returns a line for each node that was late. */
    private static List<String> play(ConfigurationFleet.Shape shape, Loss loss, Set<Integer> lost, long seed) {
        List<String> failures = new ArrayList<>();
        SimulatedTime.simulate(() -> {
            ConfigurationFleet fleet = start(shape, seed);
            int delay = new Random(seed).nextInt(LATEST_VERSION_MILLISECONDS);
            lose(fleet, loss, lost);
            fleet.time().at(Duration.ofMillis(delay), () -> fleet.write(2, 1));
            fleet.time().run(DAY);
            fleet.lateProbes().stream()
                    .filter(probe -> !lost.contains(probe.host()))
                    .collect(Collectors.groupingBy(ConfigurationProbe::host))
                    .forEach((host, late) -> failures.add("%s of %s, version %s ms later: node %s is late %s times"
                            .formatted(loss, lost, delay, host, late.size())));
        });
        return failures;
    }

    private static ConfigurationFleet start(ConfigurationFleet.Shape shape, long seed) {
        ConfigurationFleet fleet = new ConfigurationFleet(shape, APPLY_TIME, 1, ROUTES, seed);
        fleet.startAll();
        fleet.time().run(SETTLING_TIME);
        fleet.probeRoutesRepeatedly(PROBE_INTERVAL);
        return fleet;
    }

    private static void lose(ConfigurationFleet fleet, Loss loss, Set<Integer> lost) {
        switch (loss) {
            case OF_POWER -> lost.forEach(host -> fleet.losePower(host, LOSS));
            case OF_THE_STORE -> {
                fleet.store().setSilent(lost);
                fleet.time().at(LOSS, () -> fleet.store().setSilent(Set.of()));
            }
        }
    }

    private static Set<Integer> members(int subset, int nodes) {
        return IntStream.range(0, nodes)
                .filter(node -> (subset >> node & 1) == 1)
                .boxed()
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the given number of nodes of each zone that would be relays first. */
    private static Set<Integer> firstNodes(int ranks) {
        return IntStream.range(0, ranks * FOUR_ZONES.zones()).boxed().collect(Collectors.toUnmodifiableSet());
    }
}
