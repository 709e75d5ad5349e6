package org.oleanderturn.testbed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.oleanderturn.model.Locality;
import org.oleanderturn.node.ControlNode;
import org.oleanderturn.platform.HttpStore;
import org.oleanderturn.platform.StoreSettings;
import org.oleanderturn.platform.StoredValue;

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
    private static final Duration WATCH_WAIT = Duration.ofSeconds(10);
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
        List<BenchRow> rows = new ArrayList<>();
        Map<Integer, Double> idle = new TreeMap<>();
        for (int nodes : NODES) {
            try (BenchFleet fleet = BenchFleet.start(nodes, BenchPlaces.ZONES)) {
                idle.put(nodes, measure(fleet, rows, nodes));
                if (nodes == NODES.getLast()) {
                    herd(fleet, rows);
                }
            }
        }
        rows.add(slope(idle));
        for (int zones : ZONES) {
            try (BenchFleet fleet = BenchFleet.start(NODES_FOR_ZONES, zones)) {
                BenchSamples rate = BenchSamples.of(callsPerSecond(fleet));
                rows.add(BenchRow.of("idle, " + NODES_FOR_ZONES + " nodes, " + zones + " zones", "calls/s", rate));
            }
        }
        return rows;
    }

    private static double measure(BenchFleet fleet, List<BenchRow> rows, int nodes) {
        double rate = callsPerSecond(fleet);
        long before = fleet.store().counts().total();
        fleet.change(1);
        BenchClock.pause(CHANGE_MILLISECONDS);
        long after = fleet.store().counts().total();
        double perChange = Math.max(0, after - before - rate * CHANGE_MILLISECONDS / MILLISECONDS_PER_SECOND);
        WatchingBaseline baseline = baseline(nodes);
        String size = ", " + nodes + " nodes, " + BenchPlaces.ZONES + " zones";
        rows.add(BenchRow.of("idle" + size, "calls/s", BenchSamples.of(rate)).withBaseline(baseline.idle()));
        rows.add(BenchRow.of("for one change" + size, "calls", BenchSamples.of(perChange))
                .withBaseline(baseline.change()));
        return rate;
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
        rows.add(BenchRow.of(herd + "store calls", "calls", BenchSamples.of(calls)));
        rows.add(BenchRow.of(herd + "whole configurations sent", "snapshots", BenchSamples.of(snapshots)));
    }

    // -- baseline: every node watches the store

    private static WatchingBaseline baseline(int nodes) {
        AtomicBoolean isRunning = new AtomicBoolean(true);
        try (StoreStandIn store = StoreStandIn.start(0, StoreStandInSettings.defaults());
                HttpStore client = HttpStore.of(StoreSettings.of(store.address()))) {
            client.swap("head", StoredValue.ABSENT, new byte[] {1});
            ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
            for (int node = 0; node < nodes; node++) {
                executor.execute(() -> watch(client, isRunning));
            }
            BenchClock.pause(MILLISECONDS_PER_SECOND);
            long before = store.counts().total();
            BenchClock.pause(WATCH_WAIT.toMillis());
            long idle = store.counts().total() - before;
            client.swap("head", 1, new byte[] {2});
            BenchClock.pause(MILLISECONDS_PER_SECOND);
            long change = store.counts().total() - before - idle;
            isRunning.set(false);
            executor.shutdownNow();
            return new WatchingBaseline(idle * MILLISECONDS_PER_SECOND / WATCH_WAIT.toMillis(), change);
        }
    }

    private static void watch(HttpStore client, AtomicBoolean isRunning) {
        long seen = StoredValue.ABSENT;
        while (isRunning.get()) {
            long known = seen;
            seen = client.watch("head", known, WATCH_WAIT)
                    .map(found -> found.map(StoredValue::revision).orElse(known))
                    .getOrElse(known);
        }
    }

    /**
     * What watching nodes cost.
     *
     * @param idle calls a second
     * @param change calls for one change
     */
    private record WatchingBaseline(double idle, double change) {}
}
