package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.ConfigurationVersion;

/** Restarts a fleet whose one region reaches the platform's store over a link that takes seconds for what all its nodes read. */
final class RegionRestartFleetTest {
    private static final ConfigurationFleet.Machine MACHINE = new ConfigurationFleet.Machine(0.6, 60);
    private static final ConfigurationFleet.Shape SHAPE = new ConfigurationFleet.Shape(80, 4, 0, MACHINE, MACHINE, 10);

    /** Some 300 KB: 40 copies take 2.1 s over the link. */
    private static final int ROUTES = 900;

    private static final Duration SETTLING_TIME = Duration.ofSeconds(10);

    /** How long the link is busy with what was sent before the restart. */
    private static final Duration BACKLOG = Duration.ofSeconds(3);

    private static final Duration DOWN_TIME = Duration.ofMillis(1_300);

    /** The platform gives a fleet 15 s to serve again, of which the rights to limits take up to 4.5 s after the configuration. */
    private static final Duration RECOVERY = Duration.ofSeconds(10);

    private static final int SEEDS = 4;

    /** Guards against a region that asks for the same large value again and again, faster than its link carries it. */
    @Test
    void shouldHoldTheConfigurationEverywhereInTimeWhenTheWholeFleetRestartsBehindABusyLink() {
        List<String> failures = IntStream.range(0, SEEDS)
                .parallel()
                .mapToObj(RegionRestartFleetTest::play)
                .flatMap(List::stream)
                .toList();
        assertWithMessage(String.join("\n", failures)).that(failures).isEmpty();
    }

    /** Returns a line for each node that holds no configuration in time. */
    private static List<String> play(int seed) {
        String[] report = new String[1];
        SimulatedTime.simulate(() -> {
            ConfigurationFleet fleet = new ConfigurationFleet(SHAPE, 1, ROUTES, seed);
            fleet.store().setBuffered();
            fleet.discovery().discoverByStore();
            fleet.startAll();
            fleet.time().run(SETTLING_TIME);
            fleet.fillNorthboundLink(BACKLOG);
            fleet.hosts().forEach(host -> fleet.losePower(host.number(), DOWN_TIME));
            fleet.time().run(DOWN_TIME.plus(RECOVERY));
            report[0] = fleet.hosts().stream()
                    .filter(host -> host.heldVersion().equals(ConfigurationVersion.none()))
                    .map(host -> "seed %s: node %s of %s holds no configuration"
                            .formatted(seed, host.number(), host.settings().region()))
                    .reduce((first, second) -> first + "\n" + second)
                    .orElse("");
        });
        return report[0].isEmpty() ? List.of() : List.of(report[0]);
    }
}
