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
 * Calls to the store against the number of nodes and zones, in rest, at a change and when a whole zone restarts.
 *
 * <p>Used by one thread.
 */
final class BenchStoreCalls implements BenchExperiment {
    private static final List<Integer> NODES = List.of(8, 32, 128);
    private static final List<Integer> ZONES = List.of(1, 3);
    private static final int NODES_FOR_ZONES = 32;
    private static final int TARGET_NODES = 1_100;
    private static final double CALLS_BOUND_PER_SECOND = 200;
    private static final long WINDOW_MILLISECONDS = 12_000;
    private static final long CHANGE_MILLISECONDS = 3_000;
    private static final long HERD_MILLISECONDS = 30_000;
    private static final long BASELINE_MILLISECONDS = 10_000;
    private static final int BASELINE_VALUE_BYTES = 10_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    @Override
    public String name() {
        return "store-calls";
    }

    @Override
    public String shows() {
        return "calls to the store against nodes and zones, with a herd restart";
    }

    @Override
    public List<BenchRow> run() {
        List<Callable<Part>> parts = new ArrayList<>();
        for (int nodes : NODES) {
            parts.add(() -> againstNodes(nodes));
        }
        for (int zones : ZONES) {
            parts.add(() -> againstZones(zones));
        }
        List<BenchRow> rows = new ArrayList<>();
        Map<Integer, Double> idle = new TreeMap<>();
        for (Part part : BenchParallel.runAll(parts)) {
            rows.addAll(part.rows());
            part.idleOfNodes().ifPresent(rate -> idle.put(part.nodes(), rate));
        }
        rows.add(slope(idle));
        return rows;
    }

    // -- parts

    private static Part againstNodes(int nodes) {
        List<BenchRow> rows = new ArrayList<>();
        try (BenchFleet fleet = BenchFleet.start(nodes, BenchPlaces.ZONES)) {
            double rate = callsPerSecond(fleet);
            long before = fleet.store().counts().total();
            fleet.change(1);
            BenchClock.pause(CHANGE_MILLISECONDS);
            long during = fleet.store().counts().total() - before;
            double perChange = Math.max(0, during - rate * CHANGE_MILLISECONDS / MILLISECONDS_PER_SECOND);
            WatchingBaseline baseline = baseline(nodes);
            String size = ", " + nodes + " nodes, " + BenchPlaces.ZONES + " zones";
            rows.add(
                    BenchRow.of("idle" + size, "calls/s", BenchSamples.of(rate)).withBaseline(baseline.idle()));
            rows.add(BenchRow.of("for one change" + size, "calls", BenchSamples.of(perChange))
                    .withBaseline(baseline.change()));
            if (nodes == NODES.getLast()) {
                herd(fleet, rows);
            }
            return new Part(nodes, rows, Optional.of(rate));
        }
    }

    private static Part againstZones(int zones) {
        try (BenchFleet fleet = BenchFleet.start(NODES_FOR_ZONES, zones)) {
            BenchSamples rate = BenchSamples.of(callsPerSecond(fleet));
            String measure = "idle, " + NODES_FOR_ZONES + " nodes, " + zones + " zones";
            return new Part(NODES_FOR_ZONES, List.of(BenchRow.of(measure, "calls/s", rate)), Optional.empty());
        }
    }

    private static double callsPerSecond(BenchFleet fleet) {
        long before = fleet.store().counts().total();
        BenchClock.pause(WINDOW_MILLISECONDS);
        return (fleet.store().counts().total() - before) * MILLISECONDS_PER_SECOND / WINDOW_MILLISECONDS;
    }

    private static BenchRow slope(Map<Integer, Double> idle) {
        BenchSlope line = BenchSlope.of(idle);
        return BenchRow.of(
                        "idle, what " + TARGET_NODES + " nodes would add by the slope",
                        "calls/s",
                        BenchSamples.of(line.slope() * TARGET_NODES))
                .withBound(BenchBound.atMost(CALLS_BOUND_PER_SECOND))
                .withNote("bound: a tenth of the store's 2,000 reads a second; slope " + BenchTable.figure(line.slope())
                        + " calls/s a node");
    }

    private static void herd(BenchFleet fleet, List<BenchRow> rows) {
        Locality zone = fleet.zones().getFirst();
        List<ControlNode> lost = fleet.nodesIn(zone);
        fleet.kill(lost);
        long callsBefore = fleet.store().counts().total();
        long snapshotsBefore = fleet.network().snapshots();
        double start = BenchClock.nowMilliseconds();
        fleet.restart(zone);
        List<ControlNode> back = fleet.nodesIn(zone);
        boolean areReady =
                BenchClock.await(HERD_MILLISECONDS, () -> back.stream().allMatch(ControlNode::isReady));
        double seconds = (BenchClock.nowMilliseconds() - start) / MILLISECONDS_PER_SECOND;
        long calls = fleet.store().counts().total() - callsBefore;
        long snapshots = fleet.network().snapshots() - snapshotsBefore;
        String herd = "a zone of " + back.size() + " nodes restarts, ";
        rows.add(BenchRow.of(herd + "until all ready", "s", BenchSamples.of(seconds))
                .withNote(areReady ? "all came back" : "NOT all came back in the time watched"));
        rows.add(BenchRow.of(herd + "store calls a second", "calls/s", BenchSamples.of(calls / seconds))
                .withBound(BenchBound.atMost(CALLS_BOUND_PER_SECOND)));
        rows.add(BenchRow.of(herd + "store calls", "calls", BenchSamples.ofCount(calls)));
        rows.add(BenchRow.of(herd + "whole configurations sent", "snapshots", BenchSamples.ofCount(snapshots)));
    }

    private static WatchingBaseline baseline(int nodes) {
        try (BenchWatchers watchers = BenchWatchers.start(nodes, BASELINE_VALUE_BYTES)) {
            long before = watchers.calls();
            BenchClock.pause(BASELINE_MILLISECONDS);
            long idle = watchers.calls() - before;
            watchers.change();
            long change = watchers.calls() - before - idle;
            return new WatchingBaseline(idle * MILLISECONDS_PER_SECOND / BASELINE_MILLISECONDS, change);
        }
    }

    /**
     * What watching nodes cost.
     *
     * @param idle calls a second
     * @param change calls for one change
     */
    private record WatchingBaseline(double idle, double change) {}

    /**
     * What one fleet showed.
     *
     * @param idleOfNodes calls a second in rest, when the fleet counts for the slope in nodes
     */
    private record Part(int nodes, List<BenchRow> rows, Optional<Double> idleOfNodes) {}
}
