package org.oleanderturn.testbed;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.Configuration;

/**
 * Measures processor time and heap of a node's control plane as the number of nodes grows.
 *
 * <p>The figures are those of the whole process divided by its number of nodes, so they include the store stand-in, the
 * network model and garbage collection. Used by one thread.
 */
final class BenchControlCost implements BenchExperiment {
    private static final List<Integer> NODES = List.of(16, 64, 128);
    private static final int WARMUP_NODES = 32;
    private static final double PAUSE_SECONDS = 4;
    private static final int TARGET_NODES = 1_100;
    private static final double PROCESSOR_BOUND_PERCENT = 4.5;
    private static final double HEAP_BOUND_MEBIBYTES = 256;
    private static final int WINDOWS = 2;
    private static final double WINDOW_SECONDS = 3;
    private static final double SECONDS_PER_CHANGE = 1;
    private static final int CHANGES = 4;
    private static final double CHANGES_PER_SECOND = 3_100 / 86_400.0;
    private static final int CONFIGURATION_COPIES = 40;
    private static final double PERCENT = 100;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double BYTES_PER_KIBIBYTE = 1_024;

    @Override
    public String name() {
        return "control-cost";
    }

    @Override
    public String description() {
        return "processor time and heap of a node's control plane, by number of nodes";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        rows.add(configurationHeap());
        double before = usedHeapBytes();
        warmUp();
        Map<Integer, Double> processor = new TreeMap<>();
        Map<Integer, Double> change = new TreeMap<>();
        Map<Integer, Double> heap = new TreeMap<>();
        for (int nodes : NODES) {
            BenchClock.pause(PAUSE_SECONDS * MILLISECONDS_PER_SECOND);
            try (BenchFleet fleet = BenchFleet.start(nodes, BenchLocalities.ZONES)) {
                BenchSamples idlePercent = idlePercent(nodes);
                processor.put(nodes, idlePercent.median());
                change.put(nodes, changeMilliseconds(fleet, nodes, idlePercent.median()));
                heap.put(nodes, (usedHeapBytes() - before) / nodes / BYTES_PER_KIBIBYTE);
                String size = ", " + nodes + " nodes";
                rows.add(BenchRow.of("processor of one node, idle" + size, "% of a core", idlePercent));
                rows.add(BenchRow.of(
                        "processor of one node, one change" + size, "ms", BenchSamples.of(change.get(nodes))));
                rows.add(BenchRow.of("heap of one node" + size, "KiB", BenchSamples.of(heap.get(nodes))));
            }
        }
        rows.add(processorAtTarget(BenchLinearFit.of(processor), BenchLinearFit.of(change)));
        rows.add(heapAtTarget(BenchLinearFit.of(heap)));
        return rows;
    }

    private static void warmUp() {
        try (BenchFleet fleet = BenchFleet.start(WARMUP_NODES, BenchLocalities.ZONES)) {
            for (int change = 0; change < CHANGES; change++) {
                fleet.proposeChange(0);
                BenchClock.pause(SECONDS_PER_CHANGE * MILLISECONDS_PER_SECOND);
            }
        }
    }

    private static BenchRow processorAtTarget(BenchLinearFit idle, BenchLinearFit change) {
        double changesPercent = change.valueAt(TARGET_NODES) * CHANGES_PER_SECOND / MILLISECONDS_PER_SECOND * PERCENT;
        return BenchRow.of(
                        "processor of one node, " + TARGET_NODES + " nodes, 3,100 changes a day, by the slope",
                        "% of a core",
                        BenchSamples.of(idle.valueAt(TARGET_NODES) + changesPercent))
                .withBound(BenchBound.atMost(PROCESSOR_BOUND_PERCENT))
                .withNote("computed: idle " + formula(idle) + " %; one change " + formula(change) + " ms");
    }

    private static BenchRow heapAtTarget(BenchLinearFit heap) {
        return BenchRow.of(
                        "heap of one node, " + TARGET_NODES + " nodes, by the slope",
                        "MiB",
                        BenchSamples.of(heap.valueAt(TARGET_NODES) / BYTES_PER_KIBIBYTE))
                .withBound(BenchBound.atMost(HEAP_BOUND_MEBIBYTES))
                .withNote("computed: " + formula(heap)
                        + " KiB; live objects only, not the whole process; includes objects left by earlier fleets");
    }

    private static String formula(BenchLinearFit fit) {
        return BenchTable.formatNumber(fit.intercept()) + " + " + BenchTable.formatNumber(fit.slope()) + " per node";
    }

    private static BenchSamples idlePercent(int nodes) {
        List<Double> percentages = new ArrayList<>();
        for (int window = 0; window < WINDOWS; window++) {
            double before = processorSeconds();
            BenchClock.pause(WINDOW_SECONDS * MILLISECONDS_PER_SECOND);
            percentages.add((processorSeconds() - before) / WINDOW_SECONDS / nodes * PERCENT);
        }
        return BenchSamples.of(percentages);
    }

    private static double changeMilliseconds(BenchFleet fleet, int nodes, double idlePercent) {
        double before = processorSeconds();
        for (int change = 0; change < CHANGES; change++) {
            fleet.proposeChange(0);
            BenchClock.pause(SECONDS_PER_CHANGE * MILLISECONDS_PER_SECOND);
        }
        double idle = idlePercent / PERCENT * nodes * CHANGES * SECONDS_PER_CHANGE;
        return Math.max(0, processorSeconds() - before - idle) * MILLISECONDS_PER_SECOND / nodes / CHANGES;
    }

    private static BenchRow configurationHeap() {
        byte[] encoded = Codec.messagePack().encode(BenchConfiguration.after(1));
        double before = usedHeapBytes();
        List<Configuration> copies = IntStream.range(0, CONFIGURATION_COPIES)
                .mapToObj(_ -> Codec.messagePack()
                        .decode(encoded, Configuration.class)
                        .getOrElseThrow(failure -> new IllegalStateException(failure.toString())))
                .toList();
        double used = (usedHeapBytes() - before) / copies.size() / BYTES_PER_KIBIBYTE;
        return BenchRow.of(
                "heap of one configuration, " + BenchConfiguration.SERVICES + " services and twice as many routes",
                "KiB",
                BenchSamples.of(used));
    }

    private static double processorSeconds() {
        OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        return system.getProcessCpuTime() / NANOSECONDS_PER_SECOND;
    }

    private static double usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
