package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.platform.FakeOperator;

/** Plays small and large responses on simulated hosts with narrow links. */
final class LinkFleetTest {
    private static final int FLEET_SIZE = 8;
    private static final int SLOTS = 9;
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final double LINK_MEGABITS_PER_SECOND = 7;
    private static final int LOOKUPS_PER_SECOND = 60;

    /** About nine tenths of what the links carry, if all responses cross one. */
    private static final int DOWNLOADS_PER_SECOND = 70;

    private static final Duration DAY = Duration.ofSeconds(15);

    /** As the routes of the fleet's configuration state it. */
    private static final long TARGET_LATENCY_MILLISECONDS = 500;

    private static final int FIRST_SEED = Integer.getInteger("oleanderturn.firstSeed", 0);
    private static final int SEEDS = Integer.getInteger("oleanderturn.seeds", 2);

    @Test
    void shouldAnswerSmallRequestsInTimeWhenLargeResponsesFillTheLinks() {
        IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .forEach(seed -> SimulatedTime.simulate(() -> {
                    SimulatedFleet fleet = new SimulatedFleet(
                            FLEET_SIZE,
                            SLOTS,
                            FakeOperator.snapshot(1, SimulatedFleet.SERVICE, MAXIMUM_ATTEMPTS),
                            seed,
                            Optional.of(LINK_MEGABITS_PER_SECOND));
                    load(fleet, LOOKUPS_PER_SECOND, "/lookup/");
                    load(fleet, DOWNLOADS_PER_SECOND, "/download/");
                    fleet.run(DAY.plus(SimulatedFleet.CLIENT_TIMEOUT).plusSeconds(1));
                    List<SimulatedFleet.Exchange> lookups = exchanges(fleet, "/lookup/");
                    long inTime = lookups.stream()
                            .filter(exchange -> exchange.answer().status() == 200)
                            .filter(exchange -> exchange.endMilliseconds()
                                            - exchange.sending().milliseconds()
                                    <= TARGET_LATENCY_MILLISECONDS)
                            .count();
                    assertWithMessage("seed %s, share of lookups in time", seed)
                            .that(1.0 * inTime / lookups.size())
                            .isAtLeast(0.99);
                    long downloads = exchanges(fleet, "/download/").stream()
                            .filter(exchange -> exchange.answer().status() == 200)
                            .count();
                    assertWithMessage("seed %s, share of downloads served", seed)
                            .that(1.0
                                    * downloads
                                    / exchanges(fleet, "/download/").size())
                            .isAtLeast(0.95);
                }));
    }

    private static void load(SimulatedFleet fleet, int requestsPerSecond, String prefix) {
        for (long request = 0; request < requestsPerSecond * DAY.toSeconds(); request++) {
            fleet.sendOnce(Duration.ofMillis(fleet.random().nextLong(DAY.toMillis())), prefix + request);
        }
    }

    private static List<SimulatedFleet.Exchange> exchanges(SimulatedFleet fleet, String prefix) {
        return fleet.exchanges().stream()
                .filter(exchange -> exchange.path().startsWith(prefix))
                .toList();
    }
}
