package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.platform.FakeOperator;

/** Counts where the requests of a large simulated fleet arrive, and which attempts fail, below the targets' capacity. */
final class PlacementFleetTest {
    private static final int FLEET_SIZE = 80;
    private static final int SLOTS = 9;
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final Duration DAY = Duration.ofSeconds(30);
    private static final List<Double> SPEEDS = List.of(0.5, 1.0, 1.0, 1.5);
    private static final double MEAN_WORK_SECONDS = 0.2;
    private static final double UTILIZATION = 1.0 / 3;
    private static final double HIGHEST_SHARE = 1.3;
    private static final int FIRST_SEED = Integer.getInteger("oleanderturn.firstSeed", 0);
    private static final int SEEDS = Integer.getInteger("oleanderturn.seeds", 2);

    @Test
    void shouldSpreadRequestsOverTargetsOfEqualSpeedAtAThirdOfCapacity() {
        IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .forEach(seed -> SimulatedTime.simulate(() -> {
                    SimulatedFleet fleet = play(seed);
                    for (double speed : List.of(0.5, 1.0, 1.5)) {
                        List<Long> arrivals = arrivals(fleet, speed);
                        double mean = arrivals.stream()
                                .mapToLong(Long::longValue)
                                .average()
                                .orElseThrow();
                        assertWithMessage("seed %s, arrivals at targets of speed %s: %s", seed, speed, arrivals)
                                .that(arrivals.getLast() / mean)
                                .isAtMost(HIGHEST_SHARE);
                    }
                }));
    }

    @Test
    void shouldLoseNoAttemptOnALivingNodeAtAThirdOfCapacity() {
        IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .forEach(seed -> SimulatedTime.simulate(() -> {
                    SimulatedFleet fleet = play(seed);
                    List<Decision> failures = fleet.decisions().stream()
                            .filter(Decision.AttemptFailed.class::isInstance)
                            .toList();
                    assertWithMessage("seed %s, attempts that failed", seed)
                            .that(failures)
                            .isEmpty();
                }));
    }

    private static SimulatedFleet play(int seed) {
        SimulatedFleet fleet = new SimulatedFleet(
                FLEET_SIZE,
                SLOTS,
                FakeOperator.snapshot(1, SimulatedFleet.SERVICE, MAXIMUM_ATTEMPTS),
                seed,
                SimulatedSettings.Variant.placedBy(NodeSettings.Placement.EVEN_LOAD));
        fleet.hosts().forEach(host -> host.target().setSpeed(speed(host.number())));
        double capacity = IntStream.range(0, FLEET_SIZE)
                .mapToDouble(number -> SLOTS * speed(number) / MEAN_WORK_SECONDS)
                .sum();
        long requests = Math.round(capacity * UTILIZATION * DAY.toSeconds());
        for (long request = 0; request < requests; request++) {
            fleet.sendOnce(Duration.ofMillis(fleet.random().nextLong(DAY.toMillis())), "/lookup/" + request);
        }
        fleet.run(DAY.plusSeconds(3));
        return fleet;
    }

    /** Returns how many requests arrived at each target of a speed, in rising order. */
    private static List<Long> arrivals(SimulatedFleet fleet, double speed) {
        Map<Integer, Long> byHost = fleet.arrivals().stream()
                .collect(Collectors.groupingBy(SimulatedFleet.Arrival::host, TreeMap::new, Collectors.counting()));
        return fleet.hosts().stream()
                .map(SimulatedHost::number)
                .filter(number -> speed(number) == speed)
                .map(number -> byHost.getOrDefault(number, 0L))
                .sorted()
                .toList();
    }

    /** Gives each zone targets of all speeds. */
    private static double speed(int number) {
        return SPEEDS.get(number / SimulatedFleet.ZONES % SPEEDS.size());
    }
}
