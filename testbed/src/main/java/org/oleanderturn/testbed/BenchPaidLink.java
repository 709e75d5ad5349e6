package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.oleanderturn.model.Codec;
import org.oleanderturn.node.ControlNode;

/**
 * Measures the control traffic across the paid link between regions and of each node, when idle and for a change, as the
 * number of nodes grows.
 *
 * <p>Counts the bytes of frames, without TCP and IP headers. Used by one thread.
 */
final class BenchPaidLink implements BenchExperiment {
    private static final List<Integer> NODES = List.of(16, 32, 64, 128);
    private static final int TARGET_NODES = 1_100;
    private static final double NODE_BOUND_BYTES_PER_SECOND = 21_000;
    private static final double CHANGES_PER_DAY = 3_100;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int SETTLE_SECONDS = 60;
    private static final int IDLE_SECONDS = 20;
    private static final int CHANGES = 4;
    private static final double SECONDS_PER_CHANGE = 3;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    @Override
    public String name() {
        return "paid-link";
    }

    @Override
    public String description() {
        return "control bytes across the paid link and of each node, when idle and for a change";
    }

    @Override
    public List<BenchRow> run() {
        List<Callable<FleetResult>> parts = new ArrayList<>();
        for (int nodes : NODES) {
            parts.add(() -> measure(nodes));
        }
        List<BenchRow> rows = new ArrayList<>();
        Map<Integer, Double> linkIdle = new TreeMap<>();
        Map<Integer, Double> linkChange = new TreeMap<>();
        Map<Integer, Double> nodeWithChanges = new TreeMap<>();
        for (FleetResult result : BenchParallel.runAll(parts)) {
            rows.addAll(result.rows());
            linkIdle.put(result.nodes(), result.linkIdle());
            linkChange.put(result.nodes(), result.linkChange());
            nodeWithChanges.put(result.nodes(), result.nodeWithChanges());
        }
        rows.add(extrapolated("across the link, idle", "B/s", linkIdle));
        rows.add(extrapolated("across the link, one change", "B", linkChange));
        rows.add(extrapolated("a node (median), 3,100 changes a day", "B/s", nodeWithChanges)
                .withBound(BenchBound.atMost(NODE_BOUND_BYTES_PER_SECOND)));
        return rows;
    }

    private static BenchRow extrapolated(String measure, String unit, Map<Integer, Double> points) {
        BenchLinearFit fit = BenchLinearFit.of(points);
        return BenchRow.of(
                        measure + ", " + TARGET_NODES + " nodes by the slope",
                        unit,
                        BenchSamples.of(fit.valueAt(TARGET_NODES)))
                .withNote("computed: " + BenchTable.formatNumber(fit.intercept()) + " + "
                        + BenchTable.formatNumber(fit.slope()) + " per node");
    }

    private static FleetResult measure(int nodes) {
        try (BenchFleet fleet = BenchFleet.start(nodes, BenchLocalities.ZONES)) {
            BenchClock.pause(SETTLE_SECONDS * MILLISECONDS_PER_SECOND);
            Counters idleStart = Counters.of(fleet);
            int reachable = minimumReachablePeers(fleet);
            Counters idleEnd = Counters.of(fleet);
            for (int change = 0; change < CHANGES; change++) {
                fleet.proposeChange(0);
                BenchClock.pause(SECONDS_PER_CHANGE * MILLISECONDS_PER_SECOND);
            }
            Counters end = Counters.of(fleet);
            return result(nodes, reachable, idleStart, idleEnd, end);
        }
    }

    /** Polls once a second during the idle window; returns the lowest number of peers that any node could reach. */
    private static int minimumReachablePeers(BenchFleet fleet) {
        int minimum = Integer.MAX_VALUE;
        for (int second = 0; second < IDLE_SECONDS; second++) {
            BenchClock.pause(MILLISECONDS_PER_SECOND);
            for (ControlNode node : fleet.nodes()) {
                minimum = Math.min(minimum, node.reachablePeers());
            }
        }
        return minimum;
    }

    private static FleetResult result(int nodes, int reachable, Counters idleStart, Counters idleEnd, Counters end) {
        double linkIdle = (idleEnd.crossRegionBytes() - idleStart.crossRegionBytes()) / (double) IDLE_SECONDS;
        double window = CHANGES * SECONDS_PER_CHANGE;
        double linkChange =
                Math.max(0, (end.crossRegionBytes() - idleEnd.crossRegionBytes() - linkIdle * window) / CHANGES);
        List<Double> idleRates = new ArrayList<>();
        List<Double> changeBytes = new ArrayList<>();
        List<Double> totals = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            double idleRate =
                    (idleEnd.nodeBytes().get(node) - idleStart.nodeBytes().get(node)) / (double) IDLE_SECONDS;
            double change = (end.nodeBytes().get(node) - idleEnd.nodeBytes().get(node) - idleRate * window) / CHANGES;
            idleRates.add(idleRate);
            changeBytes.add(Math.max(0, change));
            totals.add(idleRate + Math.max(0, change) * CHANGES_PER_DAY / SECONDS_PER_DAY);
        }
        String size = ", " + nodes + " nodes";
        List<BenchRow> rows = new ArrayList<>(linkRows(nodes, size, linkIdle, linkChange, idleEnd, end));
        rows.addAll(List.of(
                BenchRow.of(
                        "fewest nodes that any node could reach, idle" + size,
                        "nodes",
                        BenchSamples.ofCount(reachable)),
                BenchRow.of("a node, idle (over nodes)" + size, "B/s", BenchSamples.of(idleRates)),
                BenchRow.of("a node, one change (over nodes)" + size, "B", BenchSamples.of(changeBytes)),
                BenchRow.of("a node, 3,100 changes a day (over nodes)" + size, "B/s", BenchSamples.of(totals))
                        .withBound(BenchBound.atMost(NODE_BOUND_BYTES_PER_SECOND))));
        return new FleetResult(
                nodes, rows, linkIdle, linkChange, BenchSamples.of(totals).median());
    }

    private static List<BenchRow> linkRows(
            int nodes, String size, double linkIdle, double linkChange, Counters idleEnd, Counters end) {
        double updates = (end.crossRegionDeltas()
                        + end.crossRegionSnapshots()
                        - idleEnd.crossRegionDeltas()
                        - idleEnd.crossRegionSnapshots())
                / (double) CHANGES;
        int snapshotBytes = Codec.messagePack().encode(BenchConfiguration.after(CHANGES)).length;
        double headBytes = (end.storeWrittenBytes() - idleEnd.storeWrittenBytes()) / (double) CHANGES;
        long otherRegionNodes = nodes * 3L / BenchLocalities.ZONES;
        return List.of(
                BenchRow.of("across the link, idle" + size, "B/s", BenchSamples.of(linkIdle)),
                BenchRow.of("across the link, one change, deltas" + size, "B", BenchSamples.of(linkChange))
                        .withBaseline(updates * snapshotBytes)
                        .withNote("baseline computed: " + BenchTable.formatNumber(updates)
                                + " updates per change, each a snapshot of "
                                + snapshotBytes + " B; updates sent: "
                                + (end.crossRegionDeltas() - idleEnd.crossRegionDeltas()) + " deltas, "
                                + (end.crossRegionSnapshots() - idleEnd.crossRegionSnapshots()) + " snapshots in "
                                + CHANGES + " changes"),
                BenchRow.of("across the link, one change, relays" + size, "B", BenchSamples.of(linkChange))
                        .withBaseline(headBytes * otherRegionNodes)
                        .withNote("baseline computed: each of " + otherRegionNodes
                                + " nodes in the other region watches a head of " + BenchTable.formatNumber(headBytes)
                                + " B"),
                BenchRow.of(
                        "store values read across the link, all changes" + size,
                        "B",
                        BenchSamples.ofCount(end.crossRegionStoreReadBytes() - idleEnd.crossRegionStoreReadBytes())));
    }

    /**
     * The results of one fleet.
     *
     * @param linkIdle bytes per second across the link when idle
     * @param linkChange bytes across the link for one change
     * @param nodeWithChanges bytes per second of the median node, with 3,100 changes a day
     */
    private record FleetResult(
            int nodes, List<BenchRow> rows, double linkIdle, double linkChange, double nodeWithChanges) {}

    /** The byte and message counters of a fleet at one point in time. */
    private record Counters(
            long crossRegionBytes,
            long crossRegionStoreReadBytes,
            long crossRegionDeltas,
            long crossRegionSnapshots,
            long storeWrittenBytes,
            List<Long> nodeBytes) {

        static Counters of(BenchFleet fleet) {
            List<Long> bytes = new ArrayList<>();
            for (ControlNode node : fleet.nodes()) {
                bytes.add(BenchFleet.transferredBytes(node));
            }
            return new Counters(
                    fleet.crossRegionBytes(),
                    fleet.crossRegionStoreReadBytes(),
                    fleet.network().crossRegionDeltas(),
                    fleet.network().crossRegionSnapshots(),
                    fleet.store().counts().writtenBytes(),
                    bytes);
        }
    }
}
