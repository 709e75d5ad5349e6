package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks by which versions whole simulated fleets serve while the operator changes the configuration. */
final class ConfigurationFleetTest {
    private static final ConfigurationFleet.Machine LARGE = new ConfigurationFleet.Machine(0.75, 140);

    private static final ConfigurationFleet.Shape SIX_ZONES =
            new ConfigurationFleet.Shape(70, 6, 12, LARGE, new ConfigurationFleet.Machine(0.3, 9.8), 1);

    /** Computes a day in a fraction of the time. */
    private static final int REDUCTION = 8;

    private static final List<ConfigurationFleet.Shape> REDUCED = List.of(
            new ConfigurationFleet.Shape(70, 6, 12, LARGE, new ConfigurationFleet.Machine(0.3, 9.8), REDUCTION),
            new ConfigurationFleet.Shape(79, 4, 12, LARGE, new ConfigurationFleet.Machine(0.3, 4.9), REDUCTION));

    /** Set to play other seeds or more of them than in a build. */
    private static final int FIRST_SEED = Integer.getInteger("oleanderturn.firstSeed", 0);

    private static final int SEEDS = Integer.getInteger("oleanderturn.configurationSeeds", 2);

    private static final long FIRST_VERSION = 4;
    private static final int FIRST_ROUTES = 1_120;
    private static final int ADDED_ROUTES = 1_600;
    private static final long[] LATER_VERSIONS = {20, 24, 27, 29};
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(1_800);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(300);
    private static final Duration SETTLING_TIME = Duration.ofSeconds(8);
    private static final Duration DAY = Duration.ofSeconds(18);

    /** When groups of nodes are stopped, after the version with many routes, and how many. */
    private static final int[][] STOPS = {{2_550, 4}, {2_950, 4}, {3_860, 4}, {4_150, 3}, {5_170, 4}};

    private static final Duration DEPARTURE = Duration.ofMillis(2_600);
    private static final int LATEST_FAULT_MILLISECONDS = 6_000;
    private static final int NOT_FOUND = 404;
    private static final int PERCENT = 100;

    /** Of the requests for no route, this share is denied by nodes in touch that can know all versions. */
    private static final int DENIED_PERCENT = 95;

    private static final List<Fault> FAULTS = List.of(Fault.values());
    private static final List<Day> DAYS = new ArrayList<>();

    /** What happens while the versions spread. */
    enum Fault {
        NONE,
        GROUPS_RESTART,
        RELAYS_RESTART,
        GROUPS_KILLED,
        STORE_SLOW,
        STORE_SLOWER,
        STORE_REFUSES_SOME,
        STORE_WITHOUT_KEY,
        STORE_FROM_OLDER_COPY,
        STORE_SILENT,
        FRAMES_LOST,
        SEVERAL
    }

    /** What was counted in a day. */
    private record Day(Fault fault, int seed, int late, int denied, int absent, int absentDenied, String report) {}

    // -- tests

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldServeByAVersionInTimeWhenItAddsManyRoutesAndOthersFollow(boolean areNodesRestarted) {
        SimulatedTime.simulate(() -> {
            ConfigurationFleet fleet = start(SIX_ZONES, 0);
            writeVersions(fleet);
            if (areNodesRestarted) {
                restartInTurn(fleet);
            }
            fleet.time().run(DAY);
            assertWithMessage(report(fleet)).that(fleet.lateProbes().size()).isEqualTo(0);
        });
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void shouldServeByTheVersionsInForceWhenFaultsCoincideWithNewVersions(Fault fault) {
        days(fault)
                .forEach(day -> assertWithMessage("seed %s: %s", day.seed(), day.report())
                        .that(day.late())
                        .isEqualTo(0));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void shouldDenyNoRequestThatEveryVersionAllowsWhenFaultsCoincideWithNewVersions(Fault fault) {
        days(fault)
                .forEach(day -> assertWithMessage("seed %s: %s", day.seed(), day.report())
                        .that(day.denied())
                        .isEqualTo(0));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void shouldDenyRequestsWithoutARouteWhenNothingDisturbsANode(Fault fault) {
        days(fault)
                .forEach(day -> assertWithMessage("seed %s: %s", day.seed(), day.report())
                        .that(day.absentDenied() * PERCENT)
                        .isAtLeast(day.absent() * DENIED_PERCENT));
    }

    /** The load is a calm day: a fleet starts, and the operator writes five versions while requests without a route come. */
    @ParameterizedTest
    @CsvSource({"94, 300", "300, 600"})
    void shouldCallTheStoreSeldomWhenTheFleetIsLargeAndTheDayCalm(int nodes, int maximumCalls) {
        SimulatedTime.simulate(() -> {
            ConfigurationFleet fleet = start(
                    new ConfigurationFleet.Shape(
                            nodes, 8, 24, LARGE, new ConfigurationFleet.Machine(0.3, 14), REDUCTION),
                    0);
            writeVersions(fleet);
            fleet.time().run(DAY);
            assertWithMessage(report(fleet)).that(fleet.lateProbes().size()).isEqualTo(0);
            assertWithMessage(report(fleet)).that(fleet.store().calls()).isAtMost(maximumCalls);
        });
    }

    // -- days

    /** Plays all days at the first call. */
    private static List<Day> days(Fault fault) {
        synchronized (DAYS) {
            if (DAYS.isEmpty()) {
                DAYS.addAll(IntStream.range(0, SEEDS * FAULTS.size())
                        .parallel()
                        .mapToObj(
                                number -> play(FAULTS.get(number % FAULTS.size()), FIRST_SEED + number / FAULTS.size()))
                        .toList());
            }
            return DAYS.stream().filter(day -> day.fault() == fault).toList();
        }
    }

    private static Day play(Fault fault, int seed) {
        List<Day> played = new ArrayList<>();
        SimulatedTime.simulate(() -> {
            ConfigurationFleet fleet = start(REDUCED.get((FAULTS.indexOf(fault) + seed) % REDUCED.size()), seed);
            writeVersions(fleet);
            cause(fault, fleet);
            fleet.time().run(DAY);
            List<ConfigurationProbe> absent = probes(
                    fleet,
                    probe -> probe.isInTouch() && probe.route().isEmpty() && fleet.isSettled(probe.nanoseconds()));
            played.add(new Day(
                    fault,
                    seed,
                    fleet.lateProbes().size(),
                    denied(fleet).size(),
                    absent.size(),
                    Math.toIntExact(absent.stream()
                            .filter(probe -> probe.answer().status() == NOT_FOUND)
                            .count()),
                    report(fleet)));
        });
        return played.getFirst();
    }

    private static ConfigurationFleet start(ConfigurationFleet.Shape shape, long seed) {
        ConfigurationFleet fleet = new ConfigurationFleet(shape, FIRST_VERSION, FIRST_ROUTES, seed);
        fleet.probeRepeatedly(PROBE_INTERVAL);
        fleet.startAll();
        fleet.time().run(SETTLING_TIME);
        return fleet;
    }

    private static void writeVersions(ConfigurationFleet fleet) {
        fleet.write(16, ADDED_ROUTES);
        for (int index = 0; index < LATER_VERSIONS.length; index++) {
            long number = LATER_VERSIONS[index];
            fleet.time().at(WRITE_INTERVAL.multipliedBy(index + 1), () -> fleet.write(number, 1));
        }
    }

    private static void restartInTurn(ConfigurationFleet fleet) {
        for (int[] stop : STOPS) {
            for (int host : group(fleet, stop[1])) {
                Duration pause = pause(fleet);
                fleet.time().at(Duration.ofMillis(stop[0]), () -> fleet.restart(host, DEPARTURE, pause));
            }
        }
    }

    // -- faults

    private static void cause(Fault fault, ConfigurationFleet fleet) {
        Random random = fleet.random();
        Duration delay = Duration.ofMillis(random.nextInt(LATEST_FAULT_MILLISECONDS));
        Duration duration = Duration.ofMillis(500 + random.nextInt(3_000));
        ConfigurationStore.Content store = fleet.store();
        switch (fault) {
            case NONE -> {}
            case GROUPS_RESTART -> restartInTurn(fleet);
            case RELAYS_RESTART -> restartRelays(fleet);
            case GROUPS_KILLED -> killGroups(fleet);
            case STORE_SLOW -> fleet.disturb(delay, duration, () -> store.setSlowness(60), () -> store.setSlowness(1));
            case STORE_SLOWER ->
                fleet.disturb(delay, duration, () -> store.setSlowness(400), () -> store.setSlowness(1));
            case STORE_REFUSES_SOME -> {
                Set<Integer> refused = Set.copyOf(group(fleet, fleet.hosts().size() / 3));
                fleet.disturb(delay, duration, () -> store.setRefused(refused), () -> store.setRefused(Set.of()));
            }
            case STORE_WITHOUT_KEY ->
                fleet.disturb(delay, duration, () -> store.setAbsent(true), () -> store.setAbsent(false));
            case STORE_FROM_OLDER_COPY -> loseNewest(fleet, delay, duration);
            case STORE_SILENT -> {
                Set<Integer> silent = Set.copyOf(group(fleet, fleet.hosts().size() / 3));
                fleet.disturb(delay, duration, () -> store.setSilent(silent), () -> store.setSilent(Set.of()));
            }
            case FRAMES_LOST ->
                fleet.disturb(delay, duration, () -> fleet.setLosingFrames(true), () -> fleet.setLosingFrames(false));
            case SEVERAL -> {
                List<Fault> single = FAULTS.subList(1, FAULTS.indexOf(Fault.SEVERAL));
                cause(Fault.GROUPS_RESTART, fleet);
                cause(single.get(random.nextInt(single.size())), fleet);
                cause(single.get(random.nextInt(single.size())), fleet);
            }
        }
    }

    private static void restartRelays(ConfigurationFleet fleet) {
        for (int zone = 0; zone < fleet.zones(); zone++) {
            Duration delay = Duration.ofMillis(fleet.random().nextInt(LATEST_FAULT_MILLISECONDS));
            for (int host : List.of(zone, zone + fleet.zones())) {
                Duration pause = pause(fleet);
                fleet.time().at(delay, () -> fleet.restart(host, DEPARTURE, pause));
            }
        }
    }

    private static void killGroups(ConfigurationFleet fleet) {
        for (int[] stop : STOPS) {
            for (int host : group(fleet, stop[1])) {
                Duration pause = pause(fleet);
                fleet.time().at(Duration.ofMillis(stop[0] - STOPS[0][0]), () -> fleet.kill(host, pause));
            }
        }
    }

    private static void loseNewest(ConfigurationFleet fleet, Duration delay, Duration duration) {
        List<OperatorVersions.Version> lost = new ArrayList<>();
        fleet.disturb(
                delay,
                duration,
                () -> fleet.store().loseNewest().ifPresent(lost::add),
                () -> lost.forEach(fleet::rewrite));
    }

    private static List<Integer> group(ConfigurationFleet fleet, int size) {
        return fleet.random()
                .ints(0, fleet.hosts().size())
                .distinct()
                .limit(size)
                .boxed()
                .toList();
    }

    private static Duration pause(ConfigurationFleet fleet) {
        return Duration.ofMillis(500 + fleet.random().nextInt(2_000));
    }

    // -- counts

    private static List<ConfigurationProbe> probes(ConfigurationFleet fleet, Predicate<ConfigurationProbe> filter) {
        return fleet.probes().stream().filter(filter).toList();
    }

    /** Returns the requests for routes of the first version that any node ended with a 3xx or 4xx. */
    private static List<ConfigurationProbe> denied(ConfigurationFleet fleet) {
        return probes(
                fleet,
                probe -> probe.answer().status() / PERCENT >= 3
                        && probe.answer().status() / PERCENT <= 4
                        && probe.route()
                                .filter(route -> route.version() == FIRST_VERSION)
                                .isPresent());
    }

    // -- reports

    private static String report(ConfigurationFleet fleet) {
        List<String> lines = new ArrayList<>();
        fleet.acknowledgements().stream().skip(1).forEach(acknowledgement -> lines.add(report(fleet, acknowledgement)));
        fleet.lateProbes().stream().findFirst().ifPresent(probe -> lines.add(trace(fleet, probe)));
        lines.add("late: %d, denied: %d, of %d; unserved in touch: %s; megabytes between nodes: %d"
                .formatted(
                        fleet.lateProbes().size(),
                        denied(fleet).size(),
                        fleet.probes().size(),
                        unserved(fleet),
                        fleet.sentBytes() / 1_000_000));
        return String.join("\n", lines);
    }

    /** Returns why nodes in touch did not serve requests for routes in force, and how often. */
    private static Map<String, Long> unserved(ConfigurationFleet fleet) {
        return probes(fleet, probe -> probe.isInTouch() && probe.route().isPresent()).stream()
                .map(probe -> probe.answer().reason())
                .filter(reason -> !reason.equals("NO_ENDPOINT"))
                .collect(Collectors.groupingBy(reason -> reason, Collectors.counting()));
    }

    private static String report(ConfigurationFleet fleet, ConfigurationFleet.Acknowledgement acknowledgement) {
        long acknowledged = acknowledgement.nanoseconds();
        long number = acknowledgement.version().number();
        List<ConfigurationHost> undisturbed = fleet.hosts().stream()
                .filter(host -> host.isUndisturbedSince(acknowledged))
                .toList();
        List<Long> times = undisturbed.stream()
                .flatMap(host -> fleet.adoptions().stream()
                        .filter(adopted -> adopted.host() == host.number() && adopted.life() == host.life())
                        .filter(adopted -> adopted.version().number() >= number)
                        .limit(1))
                .map(adopted -> TimeUnit.NANOSECONDS.toMillis(adopted.nanoseconds() - acknowledged))
                .sorted()
                .toList();
        return "version %d: served by %d of %d undisturbed nodes, first, median and last after %s ms"
                .formatted(
                        number,
                        times.size(),
                        undisturbed.size(),
                        times.isEmpty()
                                ? times
                                : List.of(times.getFirst(), times.get(times.size() / 2), times.getLast()));
    }

    /** Returns when the large messages reached the node that was late, and when it adopted versions. */
    private static String trace(ConfigurationFleet fleet, ConfigurationProbe late) {
        List<String> lines = new ArrayList<>();
        lines.add("node %d late at %d ms: %s"
                .formatted(late.host(), milliseconds(fleet, late.nanoseconds()), late.answer()));
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
