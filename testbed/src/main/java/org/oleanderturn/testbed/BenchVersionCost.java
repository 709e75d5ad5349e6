package org.oleanderturn.testbed;

import com.sun.management.HotSpotDiagnosticMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.distribution.SnapshotHistory;
import org.oleanderturn.distribution.VersionOrigin;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationValidator;
import org.oleanderturn.node.ControlMessage;

/**
 * Measures what one version of the configuration costs at one node of the users' platform, by number of routes: processor
 * time, allocated memory, bytes on connections, and the memory of the versions that are kept.
 *
 * <p>Runs on one thread, without a network. The figures depend on the JVM options. Used by one thread.
 */
final class BenchVersionCost implements BenchExperiment {
    private static final List<Integer> ROUTES = List.of(100, 500, 1_000, 2_000, 5_000);
    private static final int COLD_ROUTES = 1_000;
    private static final int WARMUP_ROUTES = 500;
    private static final int WARMUPS = 30;
    private static final int REPEATS = 5;
    private static final int HEAP_REPEATS = 3;
    private static final long BASE = 100;
    private static final int RELAY_REPEATED_PUSHES = 3;
    private static final int PEER_REPEATED_PUSHES = 2;

    @Override
    public String name() {
        return "version-cost";
    }

    @Override
    public String description() {
        return "what one version of the configuration costs at one node, by number of routes";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        rows.add(coldRow());
        warmUp();
        for (int routes : ROUTES) {
            for (Change change : Change.values()) {
                Input input = Input.of(change, routes);
                rows.addAll(rowsOf("relay, " + change.description(), routes, () -> relay(input)));
                rows.addAll(rowsOf("peer, delta, " + change.description(), routes, () -> peerWithDelta(input)));
            }
            byte[] snapshot = snapshotFrame(routes);
            rows.addAll(rowsOf("peer, snapshot", routes, () -> peerWithSnapshot(snapshot, routes)));
            rows.addAll(partRows(routes));
            rows.addAll(heapRows(routes));
        }
        return rows;
    }

    private static void warmUp() {
        byte[] snapshot = snapshotFrame(WARMUP_ROUTES);
        for (Change change : Change.values()) {
            Input input = Input.of(change, WARMUP_ROUTES);
            for (int warmup = 0; warmup < WARMUPS; warmup++) {
                relay(input);
                peerWithDelta(input);
                peerWithSnapshot(snapshot, WARMUP_ROUTES);
            }
        }
    }

    /** A change from one version to the next. */
    private enum Change {
        ONE_ROUTE("one route changed"),
        HALF_MORE("half as many routes added"),
        AS_MANY_MORE("as many routes added");

        private final String description;

        Change(String description) {
            this.description = description;
        }

        String description() {
            return description;
        }

        int routesAfter(int routes) {
            return switch (this) {
                case ONE_ROUTE -> routes;
                case HALF_MORE -> routes + routes / 2;
                case AS_MANY_MORE -> 2 * routes;
            };
        }
    }

    /**
     * What a node is given.
     *
     * @param base the version that it holds
     * @param value the next version as it is read from the store
     * @param frame the push of the next version, as a delta
     * @param routes the number of routes of the next version
     */
    @SuppressWarnings("ArrayRecordComponent")
    private record Input(ConfigurationSnapshot base, byte[] value, byte[] frame, int routes) {

        static Input of(Change change, int routes) {
            int routesAfter = change.routesAfter(routes);
            ConfigurationSnapshot base = BenchOperator.snapshot(BASE, routes);
            ConfigurationDelta delta = ConfigurationDelta.between(base, BenchOperator.snapshot(BASE + 1, routesAfter));
            return new Input(
                    base,
                    BenchOperator.value(BASE + 1, routesAfter),
                    BenchVersionNode.pushFrame(new ConfigurationUpdate.Delta(delta)),
                    routesAfter);
        }
    }

    // -- one version at one node

    private static BenchVersionCostSample relay(Input input) {
        BenchVersionNode node = BenchVersionNode.holding(input.base(), true);
        ConfigurationSnapshot[] decoded = new ConfigurationSnapshot[1];
        BenchProcessorCost decode = BenchProcessorCost.measure(() -> decoded[0] = BenchOperator.decode(input.value()));
        BenchProcessorCost adopt = BenchProcessorCost.measure(() -> node.adopt(decoded[0]));
        BenchProcessorCost push = BenchProcessorCost.measure(node::disseminate);
        BenchProcessorCost repeat =
                BenchProcessorCost.measure(() -> receive(node, input.frame(), RELAY_REPEATED_PUSHES));
        return sample(node, input.routes(), input.value().length, List.of(decode, adopt, push, repeat));
    }

    private static BenchVersionCostSample peerWithDelta(Input input) {
        BenchVersionNode node = BenchVersionNode.holding(input.base(), false);
        return peer(node, input.frame(), input.routes(), PEER_REPEATED_PUSHES);
    }

    private static BenchVersionCostSample peerWithSnapshot(byte[] frame, int routes) {
        return peer(BenchVersionNode.holding(ConfigurationSnapshot.empty(), false), frame, routes, 0);
    }

    private static byte[] snapshotFrame(int routes) {
        return BenchVersionNode.updateFrame(new ConfigurationUpdate.Snapshot(BenchOperator.snapshot(BASE + 1, routes)));
    }

    private static BenchVersionCostSample peer(BenchVersionNode node, byte[] frame, int routes, int repeatedPushes) {
        ControlMessage[] message = new ControlMessage[1];
        BenchProcessorCost decode = BenchProcessorCost.measure(() -> message[0] = node.receive(frame));
        BenchProcessorCost adopt = BenchProcessorCost.measure(() -> node.handle(message[0]));
        BenchProcessorCost push = BenchProcessorCost.measure(node::disseminate);
        BenchProcessorCost repeat = BenchProcessorCost.measure(() -> receive(node, frame, repeatedPushes));
        return sample(node, routes, 0, List.of(decode, adopt, push, repeat));
    }

    private static void receive(BenchVersionNode node, byte[] frame, int times) {
        for (int time = 0; time < times; time++) {
            node.handle(node.receive(frame));
        }
    }

    private static BenchVersionCostSample sample(
            BenchVersionNode node, int routes, long storeBytes, List<BenchProcessorCost> steps) {
        if (node.version().number() != BASE + 1 || node.indexedRoutes() != routes) {
            throw new IllegalStateException("the version was not adopted: " + node.version());
        }
        return new BenchVersionCostSample(steps, node.sentBytes(), node.receivedBytes(), storeBytes, node.pushes());
    }

    // -- rows

    private static BenchRow coldRow() {
        BenchVersionCostSample sample = peerWithDelta(Input.of(Change.AS_MANY_MORE, COLD_ROUTES));
        return BenchRow.of(
                        "peer, delta, as many routes added, first run of the code, " + COLD_ROUTES + " routes",
                        "ms",
                        BenchSamples.of(sample.total().milliseconds()))
                .withNote(steps(List.of(sample)) + "; the base was decoded before; JVM options " + options());
    }

    private static List<BenchRow> rowsOf(String path, int routes, Supplier<BenchVersionCostSample> measurement) {
        List<BenchVersionCostSample> samples = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            samples.add(measurement.get());
        }
        BenchVersionCostSample last = samples.getLast();
        String size = ", " + routes + " routes";
        return List.of(
                BenchRow.of(path + ", processor" + size, "ms", samples(samples, BenchVersionCostSample::milliseconds))
                        .withBound(BenchBound.atMost(BenchVersionBudget.processorMilliseconds()))
                        .withNote(steps(samples)),
                BenchRow.of(
                        path + ", allocated" + size,
                        "KiB",
                        samples(samples, sample -> sample.total().allocatedKibibytes())),
                BenchRow.of(path + ", bytes sent and received" + size, "B", BenchSamples.ofCount(last.controlBytes()))
                        .withBound(BenchBound.atMost(BenchVersionBudget.bytes()))
                        .withNote("sent " + last.sentBytes() + " B in " + last.pushes() + " pushes, received "
                                + last.receivedBytes() + " B; beside them " + last.storeBytes()
                                + " B of JSON read from the store"));
    }

    private static BenchSamples samples(
            List<BenchVersionCostSample> samples, ToDoubleFunction<BenchVersionCostSample> value) {
        return BenchSamples.of(samples.stream().mapToDouble(value).boxed().toList());
    }

    private static String steps(List<BenchVersionCostSample> samples) {
        List<String> texts = new ArrayList<>();
        for (int step = 0; step < BenchVersionCostSample.STEPS.size(); step++) {
            int index = step;
            double median = samples(samples, sample -> sample.steps().get(index).milliseconds())
                    .median();
            texts.add(BenchVersionCostSample.STEPS.get(step) + " " + BenchTable.formatNumber(median));
        }
        return String.join(", ", texts) + " ms";
    }

    /** Measures the parts of a version that adds as many routes as there are. */
    private static List<BenchRow> partRows(int routes) {
        ConfigurationSnapshot before = BenchOperator.snapshot(BASE, routes);
        ConfigurationSnapshot after = BenchOperator.snapshot(BASE + 1, Change.AS_MANY_MORE.routesAfter(routes));
        Configuration configuration = after.configuration();
        ConfigurationDelta delta = ConfigurationDelta.between(before, after);
        byte[] frame = BenchVersionNode.pushFrame(new ConfigurationUpdate.Delta(delta));
        byte[] value = BenchOperator.value(BASE + 1, Change.AS_MANY_MORE.routesAfter(routes));
        String size = ", from " + routes + " to " + Change.AS_MANY_MORE.routesAfter(routes) + " routes";
        return List.of(
                partRow("decode the store's value" + size, () -> BenchOperator.decode(value)),
                partRow(
                        "sort" + size,
                        () -> Configuration.of(
                                configuration.services(), configuration.routes(), configuration.trafficPolicies())),
                partRow("digest" + size, () -> ConfigurationSnapshot.digestOf(configuration)),
                partRow("validate" + size, () -> ConfigurationValidator.validate(configuration)),
                partRow("index of routes" + size, () -> RouteIndex.of(after)),
                partRow("compute the delta" + size, () -> ConfigurationDelta.between(before, after)),
                partRow("apply the delta" + size, () -> delta.applyTo(before)),
                partRow("encode a push" + size, () -> BenchVersionNode.pushFrame(new ConfigurationUpdate.Delta(delta))),
                partRow("decode a push" + size, () -> BenchVersionNode.decode(frame)));
    }

    private static BenchRow partRow(String measure, Runnable work) {
        List<Double> milliseconds = new ArrayList<>();
        double kibibytes = 0;
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            BenchProcessorCost cost = BenchProcessorCost.measure(work);
            milliseconds.add(cost.milliseconds());
            kibibytes = cost.allocatedKibibytes();
        }
        return BenchRow.of(measure, "ms", BenchSamples.of(milliseconds))
                .withNote("allocates " + BenchTable.formatNumber(kibibytes) + " KiB");
    }

    // -- memory

    private static List<BenchRow> heapRows(int routes) {
        String size =
                ", " + SnapshotHistory.MAXIMUM_SNAPSHOTS + " versions of one route changed, " + routes + " routes";
        return List.of(
                heapRow("heap, read from the store" + size, routes, true),
                heapRow("heap, taken as deltas" + size, routes, false));
    }

    private static BenchRow heapRow(String measure, int routes, boolean isReadFromStore) {
        List<Double> mebibytes = new ArrayList<>();
        for (int repeat = 0; repeat < HEAP_REPEATS; repeat++) {
            mebibytes.add(heapMebibytes(routes, isReadFromStore));
        }
        return BenchRow.of(measure, "MiB", BenchSamples.of(mebibytes))
                .withBound(BenchBound.atMost(BenchVersionBudget.MEMORY_MEBIBYTES));
    }

    /** Returns the memory that is free again once the history of a node is dropped. */
    private static double heapMebibytes(int routes, boolean isReadFromStore) {
        Queue<SnapshotHistory> histories = new ArrayDeque<>();
        addHistory(histories, routes, isReadFromStore);
        double used = BenchVersionBudget.usedHeapMebibytes();
        histories.clear();
        return used - BenchVersionBudget.usedHeapMebibytes();
    }

    private static void addHistory(Queue<SnapshotHistory> histories, int routes, boolean isReadFromStore) {
        histories.add(historyOfChanges(routes, isReadFromStore));
    }

    private static SnapshotHistory historyOfChanges(int routes, boolean isReadFromStore) {
        ConfigurationHolder holder = ConfigurationHolder.empty();
        SnapshotHistory history = SnapshotHistory.of(holder);
        var _ = holder.adopt(BenchOperator.snapshot(BASE, routes));
        for (int change = 1; change < SnapshotHistory.MAXIMUM_SNAPSHOTS; change++) {
            ConfigurationSnapshot next = BenchOperator.snapshot(BASE + change, routes);
            var _ = isReadFromStore
                    ? holder.adopt(next)
                    : holder.adopt(ConfigurationDelta.between(holder.held(), next), new VersionOrigin.Store());
        }
        return history;
    }

    private static String options() {
        HotSpotDiagnosticMXBean options = ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class);
        return String.format(
                Locale.ROOT,
                "MaxHeapSize=%s TieredStopAtLevel=%s UseSerialGC=%s",
                options.getVMOption("MaxHeapSize").getValue(),
                options.getVMOption("TieredStopAtLevel").getValue(),
                options.getVMOption("UseSerialGC").getValue());
    }
}
