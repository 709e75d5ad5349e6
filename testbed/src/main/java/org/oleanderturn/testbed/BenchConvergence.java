package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.node.ControlNode;

/**
 * Time from acceptance to in force on every node, against the number of nodes.
 *
 * <p>Used by one thread.
 */
final class BenchConvergence implements BenchExperiment {
    static final double BOUND_MILLISECONDS = 15_000;
    static final long WATCHED_MILLISECONDS = 30_000;

    private static final List<Integer> NODES = List.of(8, 16, 32, 64, 128);
    private static final int REPEATS = 7;
    private static final int BASELINE_REPEATS = 3;
    private static final int BASELINE_VALUE_BYTES = 10_000;
    private static final long REST_MILLISECONDS = 300;
    private static final double MICROSECONDS_PER_MILLISECOND = 1_000;
    private static final int DIGITS = 3;
    private static final double HALF_PERCENT = 50;
    private static final double MOST_PERCENT = 99;

    @Override
    public String name() {
        return "convergence";
    }

    @Override
    public String shows() {
        return "time from acceptance to in force on every node, against nodes";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        List<BenchFleet> fleets = BenchParallel.fleets(NODES);
        try {
            for (BenchFleet fleet : fleets) {
                measure(fleet, rows);
            }
        } finally {
            fleets.forEach(BenchFleet::close);
        }
        return rows;
    }

    private static void measure(BenchFleet fleet, List<BenchRow> rows) {
        int nodes = fleet.nodes().size();
        Histogram each = new Histogram(DIGITS);
        List<Double> last = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            BenchClock.pause(REST_MILLISECONDS);
            ConfigurationVersion accepted = fleet.change((repeat * 5 + 1) % nodes);
            last.add(awaitHeld(fleet.nodes(), accepted, each));
        }
        String size = ", " + nodes + " nodes, " + BenchPlaces.ZONES + " zones";
        rows.add(BenchRow.of("last node" + size, "ms", BenchSamples.of(last))
                .withBound(BenchBound.atMost(BOUND_MILLISECONDS))
                .withBaseline(baseline(nodes)));
        rows.add(BenchRow.of("half of the nodes" + size, "ms", percentile(each, HALF_PERCENT)));
        rows.add(BenchRow.of("99 in 100 nodes" + size, "ms", percentile(each, MOST_PERCENT)));
    }

    /** Waits until every node holds a version; records each node's time and returns the last, in milliseconds. */
    static double awaitHeld(List<ControlNode> nodes, ConfigurationVersion version, Histogram each) {
        double start = BenchClock.nowMilliseconds();
        Set<ControlNode> waiting = new HashSet<>(nodes);
        BenchClock.await(WATCHED_MILLISECONDS, () -> {
            double elapsed = BenchClock.nowMilliseconds() - start;
            waiting.removeIf(node -> {
                boolean isHeld = !version.isAfter(node.version());
                if (isHeld) {
                    each.recordValue(Math.round(elapsed * MICROSECONDS_PER_MILLISECOND));
                }
                return isHeld;
            });
            return waiting.isEmpty();
        });
        return BenchClock.nowMilliseconds() - start;
    }

    static Histogram histogram() {
        return new Histogram(DIGITS);
    }

    private static BenchSamples percentile(Histogram each, double percent) {
        return BenchSamples.of(each.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND);
    }

    private static double baseline(int nodes) {
        List<Double> times = new ArrayList<>();
        try (BenchWatchers watchers = BenchWatchers.start(nodes, BASELINE_VALUE_BYTES)) {
            for (int repeat = 0; repeat < BASELINE_REPEATS; repeat++) {
                BenchClock.pause(REST_MILLISECONDS);
                times.add(watchers.change());
            }
        }
        return BenchSamples.of(times).median();
    }
}
