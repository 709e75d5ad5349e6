package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks by which versions whole simulated fleets serve while the operator changes the configuration. */
final class ConfigurationFleetTest {
    private static final ConfigurationFleet.Shape SIX_ZONES = new ConfigurationFleet.Shape(
            70, 6, 12, new ConfigurationFleet.Machine(0.75, 140), new ConfigurationFleet.Machine(0.3, 9.8));

    private static final long FIRST_VERSION = 4;
    private static final int FIRST_ROUTES = 1_120;
    private static final int ADDED_ROUTES = 1_600;
    private static final long[] LATER_VERSIONS = {20, 24, 27, 29};
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(1_800);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(300);

    /** When groups of nodes are stopped, after the version with many routes, and how many. */
    private static final int[][] STOPS = {{2_550, 4}, {2_950, 4}, {3_860, 4}, {4_150, 3}, {5_170, 4}};

    private static final int NOT_FOUND = 404;
    private static final Duration DEPARTURE = Duration.ofMillis(2_600);

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldServeByAVersionInTimeWhenItAddsManyRoutesAndOthersFollow(boolean areNodesRestarted) {
        SimulatedTime.simulate(() -> {
            ConfigurationFleet fleet = new ConfigurationFleet(SIX_ZONES, FIRST_VERSION, FIRST_ROUTES, 0);
            fleet.startAll();
            fleet.time().run(Duration.ofSeconds(8));
            fleet.probeRepeatedly(PROBE_INTERVAL);
            fleet.time().run(Duration.ofSeconds(1));
            fleet.write(16, ADDED_ROUTES);
            for (int index = 0; index < LATER_VERSIONS.length; index++) {
                long number = LATER_VERSIONS[index];
                fleet.time().at(WRITE_INTERVAL.multipliedBy(index + 1), () -> fleet.write(number, 1));
            }
            if (areNodesRestarted) {
                restartInTurn(fleet);
            }
            fleet.time().run(Duration.ofSeconds(14));
            assertWithMessage(report(fleet)).that(late(fleet).size()).isEqualTo(0);
        });
    }

    private static void restartInTurn(ConfigurationFleet fleet) {
        Random random = fleet.random();
        for (int[] stop : STOPS) {
            for (int number = 0; number < stop[1]; number++) {
                int host = random.nextInt(fleet.hosts().size());
                Duration pause = Duration.ofMillis(500 + random.nextInt(2_000));
                fleet.time().at(Duration.ofMillis(stop[0]), () -> fleet.restart(host, DEPARTURE, pause));
            }
        }
    }

    // -- counts

    /** Returns the requests that a node in touch handled as only a version older than the one in force allows. */
    private static List<ConfigurationFleet.Probe> late(ConfigurationFleet fleet) {
        return fleet.probes().stream()
                .filter(ConfigurationFleet.Probe::isInTouch)
                .filter(probe -> isByOlderVersion(probe, fleet.inForce(probe.nanoseconds())))
                .toList();
    }

    private static boolean isByOlderVersion(ConfigurationFleet.Probe probe, OperatorVersions.Version inForce) {
        if (probe.answer().status() == NOT_FOUND) {
            return probe.route().filter(inForce.routes()::contains).isPresent();
        }
        return !probe.answer().reason().equals("NOT_READY")
                && probe.answer().version().number() < inForce.number()
                && probe.route().filter(inForce.changedRoute()::equals).isPresent();
    }

    private static String report(ConfigurationFleet fleet) {
        List<String> lines = new ArrayList<>();
        fleet.acknowledgements().stream().skip(1).forEach(acknowledgement -> lines.add(report(fleet, acknowledgement)));
        late(fleet).stream().findFirst().ifPresent(probe -> lines.add(trace(fleet, probe)));
        lines.add("late: %d of %d, bytes between nodes: %d"
                .formatted(late(fleet).size(), fleet.probes().size(), fleet.sentBytes()));
        return String.join("\n", lines);
    }

    private static String report(ConfigurationFleet fleet, ConfigurationFleet.Acknowledgement acknowledgement) {
        long acknowledged = acknowledgement.nanoseconds();
        List<Long> times = new ArrayList<>();
        for (ConfigurationHost host : fleet.hosts()) {
            Optional<ConfigurationFleet.Adoption> adoption = fleet.adoptions().stream()
                    .filter(adopted -> adopted.host() == host.number() && adopted.life() == host.life())
                    .filter(adopted -> adopted.version().number()
                            >= acknowledgement.version().number())
                    .findFirst();
            if (host.isUndisturbedSince(acknowledged)) {
                times.add(adoption.map(adopted -> TimeUnit.NANOSECONDS.toMillis(adopted.nanoseconds() - acknowledged))
                        .orElse(99_999L));
            }
        }
        times.sort(null);
        return "version %d: %d nodes, median %d ms, last %s ms"
                .formatted(
                        acknowledgement.version().number(),
                        times.size(),
                        times.get(times.size() / 2),
                        times.subList(Math.max(0, times.size() - 5), times.size()));
    }

    /** Returns when the large messages reached the node that was late, and when it adopted versions. */
    private static String trace(ConfigurationFleet fleet, ConfigurationFleet.Probe late) {
        List<String> lines = new ArrayList<>();
        lines.add("node %d late at %d ms".formatted(late.host(), milliseconds(fleet, late.nanoseconds())));
        for (ConfigurationFleet.Transfer transfer : fleet.transfers()) {
            if (transfer.receiver() == late.host()) {
                lines.add("  %d bytes from %s, sent at %d ms, arrived at %d ms"
                        .formatted(
                                transfer.bytes(),
                                transfer.sender().map(String::valueOf).orElse("the store"),
                                milliseconds(fleet, transfer.sent()),
                                milliseconds(fleet, transfer.arrived())));
            }
        }
        for (ConfigurationFleet.Adoption adoption : fleet.adoptions()) {
            if (adoption.host() == late.host()) {
                lines.add("  serves by %d from %d ms"
                        .formatted(adoption.version().number(), milliseconds(fleet, adoption.nanoseconds())));
            }
        }
        return String.join("\n", lines);
    }

    /** Returns a moment relative to the acknowledgement of the version with many routes. */
    private static long milliseconds(ConfigurationFleet fleet, long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(
                nanoseconds - fleet.acknowledgements().get(1).nanoseconds());
    }
}
