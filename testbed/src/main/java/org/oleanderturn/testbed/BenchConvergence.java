package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.node.ControlNode;

/**
 * Measures the time from the acceptance of a change until every node applies it, as the number of nodes grows.
 *
 * <p>The baseline is the simplest form of distribution, in which every node watches the store. Used by one thread.
 */
final class BenchConvergence implements BenchExperiment {
    static final double BOUND_MILLISECONDS = 15_000;
    static final long TIMEOUT_MILLISECONDS = 30_000;

    private static final List<Integer> NODES = List.of(8, 16, 32, 64, 128);
    private static final int REPEATS = 7;
    private static final int BASELINE_REPEATS = 3;
    private static final int BASELINE_VALUE_BYTES = 10_000;
    private static final long PAUSE_MILLISECONDS = 300;
    private static final double MICROSECONDS_PER_MILLISECOND = 1_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;

    @Override
    public String name() {
        return "convergence";
    }

    @Override
    public String description() {
        return "time from acceptance until a change is in force on every node, by number of nodes";
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
        Histogram nodeTimes = new Histogram(SIGNIFICANT_DIGITS);
        List<Double> lastNodeTimes = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            BenchClock.pause(PAUSE_MILLISECONDS);
            ConfigurationVersion accepted = fleet.proposeChange((repeat * 5 + 1) % nodes);
            lastNodeTimes.add(awaitVersion(fleet.nodes(), accepted, nodeTimes));
        }
        String size = ", " + nodes + " nodes, " + BenchLocalities.ZONES + " zones";
        rows.add(BenchRow.of("last node" + size, "ms", BenchSamples.of(lastNodeTimes))
                .withBound(BenchBound.atMost(BOUND_MILLISECONDS))
                .withBaseline(baseline(nodes)));
        rows.add(BenchRow.of("half of the nodes" + size, "ms", percentile(nodeTimes, MEDIAN_PERCENTILE)));
        rows.add(BenchRow.of("99 in 100 nodes" + size, "ms", percentile(nodeTimes, TAIL_PERCENTILE)));
    }

    /**
     * Waits until every node has the given version or a later one, or until the timeout. Records the time of each node
     * in microseconds and returns the time of the last one in milliseconds.
     */
    static double awaitVersion(List<ControlNode> nodes, ConfigurationVersion version, Histogram nodeTimes) {
        double start = BenchClock.nowMilliseconds();
        Set<ControlNode> waiting = new HashSet<>(nodes);
        BenchClock.await(TIMEOUT_MILLISECONDS, () -> {
            double elapsed = BenchClock.nowMilliseconds() - start;
            waiting.removeIf(node -> {
                boolean hasVersion = !version.isAfter(node.version());
                if (hasVersion) {
                    nodeTimes.recordValue(Math.round(elapsed * MICROSECONDS_PER_MILLISECOND));
                }
                return hasVersion;
            });
            return waiting.isEmpty();
        });
        return BenchClock.nowMilliseconds() - start;
    }

    /** Returns an empty histogram for node times in microseconds. */
    static Histogram histogram() {
        return new Histogram(SIGNIFICANT_DIGITS);
    }

    private static BenchSamples percentile(Histogram nodeTimes, double percent) {
        return BenchSamples.of(nodeTimes.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND);
    }

    private static double baseline(int nodes) {
        List<Double> times = new ArrayList<>();
        try (BenchWatchers watchers = BenchWatchers.start(nodes, BASELINE_VALUE_BYTES)) {
            for (int repeat = 0; repeat < BASELINE_REPEATS; repeat++) {
                BenchClock.pause(PAUSE_MILLISECONDS);
                times.add(watchers.writeAndAwait());
            }
        }
        return BenchSamples.of(times).median();
    }
}
