package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality;
import org.oleanderturn.node.ControlNode;

/**
 * Time from acceptance to in force on every reachable node while something fails.
 *
 * <p>Used by one thread.
 */
final class BenchConvergenceFaults implements BenchExperiment {
    private static final int NODES = 32;
    private static final int REPEATS = 3;
    private static final long CUT_MILLISECONDS = 12_000;
    private static final long OUTAGE_MILLISECONDS = 6_000;
    private static final long REST_MILLISECONDS = 4_000;

    @Override
    public String name() {
        return "convergence-faults";
    }

    @Override
    public String shows() {
        return "time to in force everywhere reachable: relay killed, acceptor killed, zone cut and healed, store down";
    }

    @Override
    public List<BenchRow> run() {
        List<List<BenchRow>> parts = BenchParallel.runAll(List.of(
                BenchConvergenceFaults::relayKilled,
                BenchConvergenceFaults::acceptorKilled,
                BenchConvergenceFaults::zoneCut,
                BenchConvergenceFaults::storeDown));
        return parts.stream().flatMap(List::stream).toList();
    }

    private static List<BenchRow> relayKilled() {
        List<Double> times = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(NODES, BenchPlaces.ZONES)) {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                ControlNode relay = fleet.relay().orElseThrow();
                ConfigurationVersion accepted = fleet.change(other(fleet, relay));
                fleet.kill(List.of(relay));
                times.add(await(fleet.nodes(), accepted));
                BenchClock.pause(REST_MILLISECONDS);
            }
        }
        return List.of(row("relay killed at acceptance, last node", times));
    }

    /** The accepting node dies with the news and a relay with it, so that only the remaining watches can find it. */
    private static List<BenchRow> acceptorKilled() {
        List<Double> times = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(NODES, BenchPlaces.ZONES)) {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                ControlNode relay = fleet.relay().orElseThrow();
                ControlNode acceptor = other(fleet, relay);
                ConfigurationVersion accepted = fleet.change(acceptor);
                fleet.kill(List.of(acceptor, relay));
                times.add(await(fleet.nodes(), accepted));
                BenchClock.pause(REST_MILLISECONDS);
            }
        }
        return List.of(row("acceptor and a relay killed at acceptance, last node", times));
    }

    private static List<BenchRow> zoneCut() {
        List<Double> others = new ArrayList<>();
        List<Double> healed = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(NODES, BenchPlaces.ZONES)) {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                Locality zone = fleet.zones().get(repeat % fleet.zones().size());
                List<ControlNode> inside = fleet.nodesIn(zone);
                List<ControlNode> outside = fleet.nodes().stream()
                        .filter(node -> !inside.contains(node))
                        .toList();
                fleet.network().cutOff(zone);
                ConfigurationVersion accepted = fleet.change(outside.getFirst());
                double start = BenchClock.nowMilliseconds();
                others.add(await(outside, accepted));
                BenchClock.pause(start + CUT_MILLISECONDS - BenchClock.nowMilliseconds());
                fleet.network().heal();
                healed.add(await(inside, accepted));
                BenchClock.pause(REST_MILLISECONDS);
            }
        }
        return List.of(
                row("a zone cut off, last node outside it", others),
                row("a zone cut off for 12 s, its last node, from the heal", healed));
    }

    private static List<BenchRow> storeDown() {
        List<Double> times = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(NODES, BenchPlaces.ZONES)) {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                ConfigurationVersion accepted = fleet.change(repeat);
                fleet.store().show(StoreStandInFaults.down(OUTAGE_MILLISECONDS));
                times.add(await(fleet.nodes(), accepted));
                BenchClock.pause(OUTAGE_MILLISECONDS + REST_MILLISECONDS);
            }
        }
        return List.of(row("store down for 6 s right after acceptance, last node", times));
    }

    private static ControlNode other(BenchFleet fleet, ControlNode relay) {
        return fleet.nodes().stream()
                .filter(node -> !node.isRelay() && node != relay)
                .findFirst()
                .orElseThrow();
    }

    private static double await(List<ControlNode> nodes, ConfigurationVersion accepted) {
        return BenchConvergence.awaitHeld(nodes, accepted, BenchConvergence.histogram());
    }

    private static BenchRow row(String measure, List<Double> times) {
        return BenchRow.of(measure + ", " + NODES + " nodes", "ms", BenchSamples.of(times))
                .withBound(BenchBound.atMost(BenchConvergence.BOUND_MILLISECONDS));
    }
}
