package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.oleanderturn.model.Locality;
import org.oleanderturn.node.ControlNode;

/**
 * Measures the calls to the store when idle, for a change and when a whole zone restarts, as the number of nodes and zones
 * varies.
 *
 * <p>Used by one thread.
 */
final class BenchStoreCalls implements BenchExperiment {
    private static final List<Integer> NODES = List.of(8, 32, 64, 128);
    private static final int MINIMUM_NODES_FOR_FIT = 32;
    private static final int WINDOWS = 3;
    private static final List<Integer> ZONES = List.of(1, 3);
    private static final int NODES_FOR_ZONES = 32;
    private static final int TARGET_NODES = 1_100;
    private static final double CALLS_BOUND_PER_SECOND = 200;
    private static final long WINDOW_MILLISECONDS = 8_000;
    private static final long CHANGE_MILLISECONDS = 3_000;
    private static final long ZONE_RESTART_TIMEOUT_MILLISECONDS = 30_000;
    private static final long BASELINE_MILLISECONDS = 20_000;
    private static final int BASELINE_VALUE_BYTES = 10_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    @Override
    public String name() {
        return "store-calls";
    }

    @Override
    public String description() {
        return "calls to the store by number of nodes and zones, and when a whole zone restarts";
    }

    @Override
    public List<BenchRow> run() {
        List<Callable<FleetResult>> parts = new ArrayList<>();
        for (int nodes : NODES) {
            parts.add(() -> againstNodes(nodes));
        }
        for (int zones : ZONES) {
            parts.add(() -> againstZones(zones));
        }
        List<BenchRow> rows = new ArrayList<>();
        Map<Integer, Double> idle = new TreeMap<>();
        for (FleetResult result : BenchParallel.runAll(parts)) {
            rows.addAll(result.rows());
            result.idleCallsPerSecond().ifPresent(rate -> idle.put(result.nodes(), rate));
        }
        rows.add(extrapolated(idle));
        return rows;
    }

    // -- measurements

    private static FleetResult againstNodes(int nodes) {
        List<BenchRow> rows = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(nodes, BenchLocalities.ZONES)) {
            BenchSamples idle = callsPerSecond(fleet);
            double rate = idle.median();
            long before = fleet.store().counts().total();
            fleet.proposeChange(1);
            BenchClock.pause(CHANGE_MILLISECONDS);
            long during = fleet.store().counts().total() - before;
            double perChange = Math.max(0, during - rate * CHANGE_MILLISECONDS / MILLISECONDS_PER_SECOND);
            WatchingBaseline baseline = baseline(nodes);
            String size = ", " + nodes + " nodes, " + BenchLocalities.ZONES + " zones";
            rows.add(BenchRow.of("idle" + size, "calls/s", idle).withBaseline(baseline.idle()));
            rows.add(BenchRow.of("for one change" + size, "calls", BenchSamples.of(perChange))
                    .withBaseline(baseline.change()));
            if (nodes == NODES.getLast()) {
                measureZoneRestart(fleet, rows);
            }
            return new FleetResult(nodes, rows, nodes < MINIMUM_NODES_FOR_FIT ? Optional.empty() : Optional.of(rate));
        }
    }

    private static FleetResult againstZones(int zones) {
        try (BenchFleet fleet = BenchFleet.start(NODES_FOR_ZONES, zones)) {
            BenchSamples rate = callsPerSecond(fleet);
            String measure = "idle, " + NODES_FOR_ZONES + " nodes, " + zones + " zones";
            return new FleetResult(NODES_FOR_ZONES, List.of(BenchRow.of(measure, "calls/s", rate)), Optional.empty());
        }
    }

    private static BenchSamples callsPerSecond(BenchFleet fleet) {
        List<Double> rates = new ArrayList<>();
        for (int window = 0; window < WINDOWS; window++) {
            long before = fleet.store().counts().total();
            BenchClock.pause(WINDOW_MILLISECONDS);
            long calls = fleet.store().counts().total() - before;
            rates.add(calls * MILLISECONDS_PER_SECOND / WINDOW_MILLISECONDS);
        }
        return BenchSamples.of(rates);
    }

    private static BenchRow extrapolated(Map<Integer, Double> idle) {
        BenchLinearFit fit = BenchLinearFit.of(idle);
        return BenchRow.of(
                        "idle, what " + TARGET_NODES + " nodes would add by the slope",
                        "calls/s",
                        BenchSamples.of(fit.slope() * TARGET_NODES))
                .withBound(BenchBound.atMost(CALLS_BOUND_PER_SECOND))
                .withNote("bound: a tenth of the store's 2,000 reads a second; slope "
                        + BenchTable.formatNumber(fit.slope()) + " calls/s per node");
    }

    private static void measureZoneRestart(BenchFleet fleet, List<BenchRow> rows) {
        Locality zone = fleet.zones().getFirst();
        List<ControlNode> killed = fleet.nodesIn(zone);
        fleet.kill(killed);
        long callsBefore = fleet.store().counts().total();
        long snapshotsBefore = fleet.network().snapshots();
        double start = BenchClock.nowMilliseconds();
        fleet.restartZone(zone);
        List<ControlNode> restarted = fleet.nodesIn(zone);
        boolean areAllReady = BenchClock.await(
                ZONE_RESTART_TIMEOUT_MILLISECONDS, () -> restarted.stream().allMatch(ControlNode::isReady));
        double seconds = (BenchClock.nowMilliseconds() - start) / MILLISECONDS_PER_SECOND;
        long calls = fleet.store().counts().total() - callsBefore;
        long snapshots = fleet.network().snapshots() - snapshotsBefore;
        String prefix = "a zone of " + restarted.size() + " nodes restarts, ";
        rows.add(BenchRow.of(prefix + "until all ready", "s", BenchSamples.of(seconds))
                .withNote(areAllReady ? "all nodes became ready" : "NOT all nodes became ready before the timeout"));
        rows.add(BenchRow.of(prefix + "store calls a second", "calls/s", BenchSamples.of(calls / seconds))
                .withBound(BenchBound.atMost(CALLS_BOUND_PER_SECOND)));
        rows.add(BenchRow.of(prefix + "store calls", "calls", BenchSamples.ofCount(calls)));
        rows.add(BenchRow.of(prefix + "whole configurations sent", "snapshots", BenchSamples.ofCount(snapshots)));
    }

    private static WatchingBaseline baseline(int nodes) {
        try (BenchWatchers watchers = BenchWatchers.start(nodes, BASELINE_VALUE_BYTES)) {
            long before = watchers.calls();
            BenchClock.pause(BASELINE_MILLISECONDS);
            long idle = watchers.calls() - before;
            watchers.writeAndAwait();
            long change = watchers.calls() - before - idle;
            return new WatchingBaseline(idle * MILLISECONDS_PER_SECOND / BASELINE_MILLISECONDS, change);
        }
    }

    /**
     * The store calls of the baseline, in which every node watches the store.
     *
     * @param idle calls per second when idle
     * @param change number of calls for one change
     */
    private record WatchingBaseline(double idle, double change) {}

    /**
     * The results of one fleet.
     *
     * @param idleCallsPerSecond calls per second when idle; empty if the fleet is left out of the fit over nodes
     */
    private record FleetResult(int nodes, List<BenchRow> rows, Optional<Double> idleCallsPerSecond) {}
}
