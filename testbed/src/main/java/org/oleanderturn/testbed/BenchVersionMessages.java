package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.node.ControlNode;

/**
 * Measures how many messages about a version, and how many bytes, a node sends and receives as the number of nodes grows.
 *
 * <p>Counts the frames of pushes, fetches and their answers, without TCP and IP headers; anti-entropy rounds in the 4 s
 * of a change are included. Used by one thread.
 */
final class BenchVersionMessages implements BenchExperiment {
    private static final List<Integer> NODES = List.of(16, 64, 128);
    private static final int TARGET_NODES = 1_100;
    private static final int ROUTES = 500;
    private static final int CHANGES = 3;
    private static final double MILLISECONDS_PER_CHANGE = 4_000;

    @Override
    public String name() {
        return "version-messages";
    }

    @Override
    public String description() {
        return "messages and bytes of one version at one node, by number of nodes";
    }

    @Override
    public List<BenchRow> run() {
        List<Callable<FleetResult>> parts = new ArrayList<>();
        for (int nodes : NODES) {
            parts.add(() -> measure(nodes));
        }
        List<BenchRow> rows = new ArrayList<>();
        Map<Integer, Double> messages = new TreeMap<>();
        Map<Integer, Double> bytes = new TreeMap<>();
        Map<Integer, Double> addedBytes = new TreeMap<>();
        for (FleetResult result : BenchParallel.runAll(parts)) {
            rows.addAll(result.rows());
            messages.put(result.nodes(), result.messages());
            bytes.put(result.nodes(), result.bytes());
            addedBytes.put(result.nodes(), result.addedBytes());
        }
        rows.add(extrapolated("one route changed, messages", "messages", messages));
        rows.add(extrapolated("one route changed, bytes", "B", bytes)
                .withBound(BenchBound.atMost(BenchVersionBudget.bytes())));
        rows.add(extrapolated("half as many routes added, bytes", "B", addedBytes)
                .withBound(BenchBound.atMost(BenchVersionBudget.bytes())));
        return rows;
    }

    private static BenchRow extrapolated(String measure, String unit, Map<Integer, Double> points) {
        BenchLinearFit fit = BenchLinearFit.of(points);
        return BenchRow.of(
                        measure + " (mean node), " + TARGET_NODES + " nodes by the slope",
                        unit,
                        BenchSamples.of(fit.valueAt(TARGET_NODES)))
                .withNote("computed: " + BenchTable.formatNumber(fit.intercept()) + " + "
                        + BenchTable.formatNumber(fit.slope()) + " per node");
    }

    private static FleetResult measure(int nodes) {
        try (BenchFleet fleet = BenchFleet.start(nodes, BenchLocalities.ZONES)) {
            propose(fleet, 1, ROUTES);
            BenchClock.pause(MILLISECONDS_PER_CHANGE);
            List<BenchVersionTraffic.Count> idleStart = counts(fleet);
            BenchClock.pause(MILLISECONDS_PER_CHANGE);
            List<BenchVersionTraffic.Count> start = counts(fleet);
            for (int change = 0; change < CHANGES; change++) {
                propose(fleet, 2 + change, ROUTES);
            }
            List<BenchVersionTraffic.Count> afterChanges = counts(fleet);
            propose(fleet, 2 + CHANGES, ROUTES + ROUTES / 2);
            List<BenchVersionTraffic.Count> end = counts(fleet);
            return result(nodes, between(idleStart, start), between(start, afterChanges), between(afterChanges, end));
        }
    }

    /** Proposes a version and waits until every node holds it and the time of a change is over. */
    private static void propose(BenchFleet fleet, int version, int routes) {
        double deadline = BenchClock.nowMilliseconds() + MILLISECONDS_PER_CHANGE;
        Proposal proposal = new Proposal(
                ProposalId.of("bench-version-" + version),
                Optional.empty(),
                true,
                BenchOperator.snapshot(version, routes).configuration());
        ConfigurationVersion accepted = fleet.propose(fleet.nodes().getFirst(), proposal);
        BenchClock.pause(deadline - BenchClock.nowMilliseconds());
        if (!fleet.isHeldBy(fleet.nodes(), accepted)) {
            throw new IllegalStateException("a node does not hold " + accepted + " at the end of its change");
        }
    }

    private static List<BenchVersionTraffic.Count> counts(BenchFleet fleet) {
        List<BenchVersionTraffic.Count> counts = new ArrayList<>();
        for (ControlNode node : fleet.nodes()) {
            counts.add(
                    fleet.network().versionTraffic().of(node.settings().listen().control()));
        }
        return counts;
    }

    static List<BenchVersionTraffic.Count> between(
            List<BenchVersionTraffic.Count> earlier, List<BenchVersionTraffic.Count> later) {
        List<BenchVersionTraffic.Count> differences = new ArrayList<>();
        for (int node = 0; node < later.size(); node++) {
            differences.add(later.get(node).minus(earlier.get(node)));
        }
        return differences;
    }

    private static FleetResult result(
            int nodes,
            List<BenchVersionTraffic.Count> idle,
            List<BenchVersionTraffic.Count> changes,
            List<BenchVersionTraffic.Count> added) {
        List<Double> messages = changes.stream()
                .map(count -> count.messages() / (double) CHANGES)
                .toList();
        List<Double> bytes =
                changes.stream().map(count -> count.bytes() / (double) CHANGES).toList();
        List<Double> addedMessages = messagesOf(added);
        List<Double> addedBytes = bytesOf(added);
        String size = " (over nodes), " + ROUTES + " routes, " + nodes + " nodes";
        List<BenchRow> rows = List.of(
                row("no change, messages in the same time" + size, "messages", messagesOf(idle)),
                row("no change, bytes in the same time" + size, "B", bytesOf(idle)),
                row("one route changed, messages" + size, "messages", messages),
                row("one route changed, bytes" + size, "B", bytes)
                        .withBound(BenchBound.atMost(BenchVersionBudget.bytes())),
                row("half as many routes added, messages" + size, "messages", addedMessages),
                row("half as many routes added, bytes" + size, "B", addedBytes)
                        .withBound(BenchBound.atMost(BenchVersionBudget.bytes())));
        return new FleetResult(nodes, rows, mean(messages), mean(bytes), mean(addedBytes));
    }

    private static List<Double> messagesOf(List<BenchVersionTraffic.Count> counts) {
        return counts.stream().map(count -> (double) count.messages()).toList();
    }

    private static List<Double> bytesOf(List<BenchVersionTraffic.Count> counts) {
        return counts.stream().map(count -> (double) count.bytes()).toList();
    }

    private static BenchRow row(String measure, String unit, List<Double> values) {
        return BenchRow.of(measure, unit, BenchSamples.of(values))
                .withNote("mean " + BenchTable.formatNumber(mean(values)));
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    /**
     * The results of one fleet, for the mean node.
     *
     * @param messages messages of a version that changes one route
     * @param bytes bytes of a version that changes one route
     * @param addedBytes bytes of a version that adds half as many routes as there are
     */
    private record FleetResult(int nodes, List<BenchRow> rows, double messages, double bytes, double addedBytes) {}
}
