package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality;
import org.oleanderturn.node.ControlNode;

/**
 * Measures the time from the acceptance of a change until every reachable node applies it, during faults: a relay or the
 * accepting node is killed, a zone is cut off from the others, or the store is down.
 *
 * <p>Used by one thread.
 */
final class BenchConvergenceFaults implements BenchExperiment {
    private static final int NODES = 32;
    private static final int REPEATS = 3;
    private static final long PARTITION_MILLISECONDS = 12_000;
    private static final long OUTAGE_MILLISECONDS = 6_000;
    private static final long PAUSE_MILLISECONDS = 4_000;

    @Override
    public String name() {
        return "convergence-faults";
    }

    @Override
    public String description() {
        return "time to in force on every reachable node: relay killed, acceptor killed, zone cut off and healed, store down";
    }

    @Override
    public List<BenchRow> run() {
        List<List<BenchRow>> parts = BenchParallel.runAll(List.of(
                BenchConvergenceFaults::relayKilled,
                BenchConvergenceFaults::acceptorKilled,
                BenchConvergenceFaults::zoneIsolated,
                BenchConvergenceFaults::storeDown));
        return parts.stream().flatMap(List::stream).toList();
    }

    private static List<BenchRow> relayKilled() {
        List<Double> lastNodeTimes = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(NODES, BenchLocalities.ZONES)) {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                ControlNode relay = fleet.relay().orElseThrow();
                ConfigurationVersion accepted = fleet.proposeChange(nonRelayNode(fleet, relay));
                fleet.kill(List.of(relay));
                lastNodeTimes.add(await(fleet.nodes(), accepted));
                BenchClock.pause(PAUSE_MILLISECONDS);
            }
        }
        return List.of(row("relay killed at acceptance, last node", lastNodeTimes));
    }

    /**
     * Kills the accepting node and a relay right after acceptance, before they can pass the change on, so that only the
     * remaining watches on the store can find it.
     */
    private static List<BenchRow> acceptorKilled() {
        List<Double> lastNodeTimes = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(NODES, BenchLocalities.ZONES)) {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                ControlNode relay = fleet.relay().orElseThrow();
                ControlNode acceptor = nonRelayNode(fleet, relay);
                ConfigurationVersion accepted = fleet.proposeChange(acceptor);
                fleet.kill(List.of(acceptor, relay));
                lastNodeTimes.add(await(fleet.nodes(), accepted));
                BenchClock.pause(PAUSE_MILLISECONDS);
            }
        }
        return List.of(row("acceptor and a relay killed at acceptance, last node", lastNodeTimes));
    }

    private static List<BenchRow> zoneIsolated() {
        List<Double> outsideTimes = new ArrayList<>();
        List<Double> insideTimes = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(NODES, BenchLocalities.ZONES)) {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                Locality zone = fleet.zones().get(repeat % fleet.zones().size());
                List<ControlNode> inside = fleet.nodesIn(zone);
                List<ControlNode> outside = fleet.nodes().stream()
                        .filter(node -> !inside.contains(node))
                        .toList();
                fleet.network().isolate(zone);
                ConfigurationVersion accepted = fleet.proposeChange(outside.getFirst());
                double start = BenchClock.nowMilliseconds();
                outsideTimes.add(await(outside, accepted));
                BenchClock.pause(start + PARTITION_MILLISECONDS - BenchClock.nowMilliseconds());
                fleet.network().heal();
                insideTimes.add(await(inside, accepted));
                BenchClock.pause(PAUSE_MILLISECONDS);
            }
        }
        return List.of(
                row("a zone cut off, last node outside it", outsideTimes),
                row("a zone cut off for 12 s, its last node, from the heal", insideTimes));
    }

    private static List<BenchRow> storeDown() {
        List<Double> lastNodeTimes = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(NODES, BenchLocalities.ZONES)) {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                ConfigurationVersion accepted = fleet.proposeChange(repeat);
                fleet.store().setFaults(StoreStandInFaults.down(OUTAGE_MILLISECONDS));
                lastNodeTimes.add(await(fleet.nodes(), accepted));
                BenchClock.pause(OUTAGE_MILLISECONDS + PAUSE_MILLISECONDS);
            }
        }
        return List.of(row("store down for 6 s right after acceptance, last node", lastNodeTimes));
    }

    private static ControlNode nonRelayNode(BenchFleet fleet, ControlNode relay) {
        return fleet.nodes().stream()
                .filter(node -> !node.isRelay() && node != relay)
                .findFirst()
                .orElseThrow();
    }

    private static double await(List<ControlNode> nodes, ConfigurationVersion accepted) {
        return BenchConvergence.awaitVersion(nodes, accepted, BenchConvergence.histogram());
    }

    private static BenchRow row(String measure, List<Double> lastNodeTimes) {
        return BenchRow.of(measure + ", " + NODES + " nodes", "ms", BenchSamples.of(lastNodeTimes))
                .withBound(BenchBound.atMost(BenchConvergence.BOUND_MILLISECONDS));
    }
}
