package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Sweeps the load of simulated fleets over what the targets, or the nodes' own cores, can bear, and counts the answers in time.
 */
final class OverloadFleetTest {
    private static final int FLEET_SIZE = 12;
    private static final int SLOTS = 9;
    private static final int FEWER_SLOTS = 3;
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final double MEAN_WORK_SECONDS = 0.2;
    private static final double CORE_SHARE = 0.3;
    private static final Duration READ_COST = Duration.ofMillis(1);
    private static final Duration SEND_COST = Duration.ofMillis(3);
    private static final Duration DAY = Duration.ofSeconds(12);
    private static final List<Double> LOADS = List.of(0.5, 0.8, 1.0, 1.3, 2.0, 3.0);

    /** As the routes of the fleet's configuration state it. */
    private static final Duration TARGET_LATENCY = Duration.ofMillis(500);

    /** How often a client sends that is refused and comes back. */
    private static final int CLIENT_TRIES = 3;

    private static final double LOWEST_SHARE_OF_PEAK = 0.9;
    private static final int FIRST_SEED = Integer.getInteger("oleanderturn.firstSeed", 0);
    private static final int SEEDS = Integer.getInteger("oleanderturn.seeds", 1);

    /** What limits the fleet. */
    enum Bottleneck {
        TARGETS(SLOTS, SLOTS / MEAN_WORK_SECONDS, false),
        /** The cores could serve two and a half times as much as the targets can run. */
        TARGETS_BEFORE_CORES(FEWER_SLOTS, FEWER_SLOTS / MEAN_WORK_SECONDS, true),
        CORES(SLOTS, CORE_SHARE / (2 * READ_COST.plus(SEND_COST).toNanos() / 1e9), true);

        private final int slots;
        private final double requestsPerSecond;
        private final boolean isCoreCharged;

        Bottleneck(int slots, double requestsPerSecond, boolean isCoreCharged) {
            this.slots = slots;
            this.requestsPerSecond = requestsPerSecond;
            this.isCoreCharged = isCoreCharged;
        }
    }

    @Test
    void shouldKeepTheGoodputOfItsPeakWhenTargetsAreTheBottleneck() {
        assertGoodputKept(Bottleneck.TARGETS, 1);
    }

    @Test
    void shouldKeepTheGoodputOfItsPeakWhenRefusedClientsComeBackToTheTargets() {
        assertGoodputKept(Bottleneck.TARGETS, CLIENT_TRIES);
    }

    @Test
    void shouldKeepTheGoodputOfItsPeakWhenCoresAreTheBottleneck() {
        assertGoodputKept(Bottleneck.CORES, 1);
    }

    @Test
    void shouldKeepTheGoodputOfItsPeakWhenRefusalsUseTheCoresThatRunsNeed() {
        assertGoodputKept(Bottleneck.TARGETS_BEFORE_CORES, 1);
    }

    private static void assertGoodputKept(Bottleneck bottleneck, int tries) {
        IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).forEach(seed -> {
            Map<Double, Integer> goodput = Collections.synchronizedMap(new TreeMap<>());
            LOADS.parallelStream()
                    .forEach(load ->
                            SimulatedTime.simulate(() -> goodput.put(load, inTime(bottleneck, load, tries, seed))));
            int peak = Collections.max(goodput.values());
            goodput.forEach((load, answers) -> {
                if (load >= 1) {
                    assertWithMessage("seed %s, answers in time by load %s", seed, goodput)
                            .that((double) answers)
                            .isAtLeast(LOWEST_SHARE_OF_PEAK * peak);
                }
            });
        });
    }

    /** Plays a day and returns how many requests were served in time, counted from when they were sent first. */
    private static int inTime(Bottleneck bottleneck, double load, int tries, int seed) {
        SimulatedFleet fleet = new SimulatedFleet(FLEET_SIZE, bottleneck.slots, MAXIMUM_ATTEMPTS, seed);
        if (bottleneck.isCoreCharged) {
            fleet.hosts().forEach(host -> host.setCore(CORE_SHARE, READ_COST, SEND_COST));
        }
        List<Duration> served = new ArrayList<>();
        long requests = Math.round(FLEET_SIZE * bottleneck.requestsPerSecond * load * DAY.toSeconds());
        for (long request = 0; request < requests; request++) {
            Duration delay = Duration.ofMillis(fleet.random().nextLong(DAY.toMillis()));
            fleet.clients().sendAndReturn(delay, "/lookup/" + request, tries, served::add);
        }
        fleet.run(DAY.plus(SimulatedFleet.CLIENT_TIMEOUT).plusSeconds(1));
        return Math.toIntExact(served.stream()
                .filter(duration -> duration.compareTo(TARGET_LATENCY) <= 0)
                .count());
    }
}
