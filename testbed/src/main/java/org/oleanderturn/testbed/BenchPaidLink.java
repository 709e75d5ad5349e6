package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.oleanderturn.model.Codec;
import org.oleanderturn.node.ControlNode;

/**
 * Control bytes across the paid link and of each node, in rest and for a change, against the number of nodes.
 *
 * <p>Bytes are those of the frames, without the headers of TCP and IP. Used by one thread.
 */
final class BenchPaidLink implements BenchExperiment {
    private static final List<Integer> NODES = List.of(16, 32, 64, 128);
    private static final int TARGET_NODES = 1_100;
    private static final double NODE_BOUND_BYTES_PER_SECOND = 21_000;
    private static final double CHANGES_PER_DAY = 3_100;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int SETTLE_SECONDS = 15;
    private static final int IDLE_SECONDS = 30;
    private static final int CHANGES = 5;
    private static final double SECONDS_PER_CHANGE = 3;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    @Override
    public String name() {
        return "paid-link";
    }

    @Override
    public String shows() {
        return "control bytes across the paid link and of each node, in rest and for a change";
    }

    @Override
    public List<BenchRow> run() {
        List<Callable<Size>> parts = new ArrayList<>();
        for (int nodes : NODES) {
            parts.add(() -> measure(nodes));
        }
        List<BenchRow> rows = new ArrayList<>();
        Map<Integer, Double> linkIdle = new TreeMap<>();
        Map<Integer, Double> linkChange = new TreeMap<>();
        Map<Integer, Double> node = new TreeMap<>();
        for (Size size : BenchParallel.runAll(parts)) {
            rows.addAll(size.rows());
            linkIdle.put(size.nodes(), size.linkIdle());
            linkChange.put(size.nodes(), size.linkChange());
            node.put(size.nodes(), size.node());
        }
        rows.add(extrapolated("across the link, idle", "B/s", linkIdle));
        rows.add(extrapolated("across the link, one change", "B", linkChange));
        rows.add(extrapolated("a node (median), 3,100 changes a day", "B/s", node)
                .withBound(BenchBound.atMost(NODE_BOUND_BYTES_PER_SECOND)));
        return rows;
    }

    private static BenchRow extrapolated(String measure, String unit, Map<Integer, Double> points) {
        BenchSlope line = BenchSlope.of(points);
        return BenchRow.of(
                        measure + ", " + TARGET_NODES + " nodes by the slope",
                        unit,
                        BenchSamples.of(line.at(TARGET_NODES)))
                .withNote("computed: " + BenchTable.figure(line.intercept()) + " + " + BenchTable.figure(line.slope())
                        + " a node");
    }

    private static Size measure(int nodes) {
        try (BenchFleet fleet = BenchFleet.start(nodes, BenchPlaces.ZONES)) {
            BenchClock.pause(SETTLE_SECONDS * MILLISECONDS_PER_SECOND);
            Reading start = Reading.of(fleet);
            BenchClock.pause(IDLE_SECONDS * MILLISECONDS_PER_SECOND);
            Reading rest = Reading.of(fleet);
            for (int change = 0; change < CHANGES; change++) {
                fleet.change(0);
                BenchClock.pause(SECONDS_PER_CHANGE * MILLISECONDS_PER_SECOND);
            }
            Reading end = Reading.of(fleet);
            return size(nodes, start, rest, end);
        }
    }

    private static Size size(int nodes, Reading start, Reading rest, Reading end) {
        double linkIdle = (rest.across() - start.across()) / (double) IDLE_SECONDS;
        double window = CHANGES * SECONDS_PER_CHANGE;
        double linkChange = Math.max(0, (end.across() - rest.across() - linkIdle * window) / CHANGES);
        List<Double> idle = new ArrayList<>();
        List<Double> perChange = new ArrayList<>();
        List<Double> sum = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            double rate = (rest.nodes().get(node) - start.nodes().get(node)) / (double) IDLE_SECONDS;
            double change = (end.nodes().get(node) - rest.nodes().get(node) - rate * window) / CHANGES;
            idle.add(rate);
            perChange.add(Math.max(0, change));
            sum.add(rate + Math.max(0, change) * CHANGES_PER_DAY / SECONDS_PER_DAY);
        }
        double pushes = (end.deltas() + end.snapshots() - rest.deltas() - rest.snapshots()) / (double) CHANGES;
        int snapshotBytes = Codec.messagePack().encode(BenchConfiguration.after(CHANGES)).length;
        double headBytes = (end.writtenBytes() - rest.writtenBytes()) / (double) CHANGES;
        long farNodes = nodes * 3L / BenchPlaces.ZONES;
        String size = ", " + nodes + " nodes";
        List<BenchRow> rows = List.of(
                BenchRow.of("across the link, idle" + size, "B/s", BenchSamples.of(linkIdle)),
                BenchRow.of("across the link, one change, deltas" + size, "B", BenchSamples.of(linkChange))
                        .withBaseline(pushes * snapshotBytes)
                        .withNote("baseline computed: " + BenchTable.figure(pushes)
                                + " contents a change, each a snapshot of "
                                + snapshotBytes + " B; contents sent: " + (end.deltas() - rest.deltas()) + " deltas, "
                                + (end.snapshots() - rest.snapshots()) + " snapshots in " + CHANGES + " changes"),
                BenchRow.of("across the link, one change, relays" + size, "B", BenchSamples.of(linkChange))
                        .withBaseline(headBytes * farNodes)
                        .withNote("baseline computed: every one of " + farNodes + " far nodes watches a head of "
                                + BenchTable.figure(headBytes) + " B"),
                BenchRow.of(
                        "store values read across the link, all changes" + size,
                        "B",
                        BenchSamples.ofCount(end.storeAcross() - rest.storeAcross())),
                BenchRow.of("a node, idle (over nodes)" + size, "B/s", BenchSamples.of(idle)),
                BenchRow.of("a node, one change (over nodes)" + size, "B", BenchSamples.of(perChange)),
                BenchRow.of("a node, 3,100 changes a day (over nodes)" + size, "B/s", BenchSamples.of(sum))
                        .withBound(BenchBound.atMost(NODE_BOUND_BYTES_PER_SECOND)));
        return new Size(nodes, rows, linkIdle, linkChange, BenchSamples.of(sum).median());
    }

    /**
     * What one fleet showed.
     *
     * @param linkIdle bytes a second across the link in rest
     * @param linkChange bytes across the link for one change
     * @param node bytes a second of the median node with changes
     */
    private record Size(int nodes, List<BenchRow> rows, double linkIdle, double linkChange, double node) {}

    /** The counters of a fleet at one time. */
    private record Reading(
            long across, long storeAcross, long deltas, long snapshots, long writtenBytes, List<Long> nodes) {

        static Reading of(BenchFleet fleet) {
            List<Long> bytes = new ArrayList<>();
            for (ControlNode node : fleet.nodes()) {
                bytes.add(BenchFleet.bytesOf(node));
            }
            return new Reading(
                    fleet.bytesAcross(),
                    fleet.storeBytesAcross(),
                    fleet.network().deltasAcross(),
                    fleet.network().snapshotsAcross(),
                    fleet.store().counts().writtenBytes(),
                    bytes);
        }
    }
}
