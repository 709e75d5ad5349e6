package org.oleanderturn.testbed;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.oleanderturn.model.Address;

/**
 * Latency that the hops through an entry and a guard add to a request, and the resources that the two nodes use.
 *
 * <p>{@code scripts/bench-two-hops-processes} starts the processes. Used by one thread.
 */
final class TwoHopBenchmark implements BenchExperiment {
    private static final Path FOLDER = Path.of("target", "bench", "two-hops");
    private static final String HOST = "127.0.0.1";
    private static final int TARGET_PORT = 26_001;
    private static final int FIRST_ENTRY_PORT = 26_051;
    private static final int PORTS_PER_PAIR = 100;
    private static final int OPERATOR_OFFSET = 3;
    private static final int NODE_PAIRS = 6;
    private static final int FIRST_PAIR_WITHOUT_WARMUP = 4;
    private static final int REQUESTS_PER_SECOND = 500;
    private static final int REPEATS = 3;
    private static final long PHASE_MILLISECONDS = 5_000;
    private static final long WARMUP_MILLISECONDS = 10_000;
    private static final long READY_TIMEOUT_MILLISECONDS = 40_000;
    private static final double TAIL_PERCENTILE = 99;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double PERCENT = 100;
    private static final double ADDED_LATENCY_BOUND_MILLISECONDS = 1.7;
    private static final double BYTES_PER_MEGABYTE = 1_048_576;
    private static final double MICROSECONDS_PER_NANOSECOND = 1e-3;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final TrafficGenerator generator = new TrafficGenerator();

    @Override
    public String name() {
        return "two-hops";
    }

    @Override
    public String description() {
        return "latency added by entry and guard at 500 requests/s, cold and warm, and what a node uses per request";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        awaitReady();
        TrafficGenerator.Destination direct =
                new TrafficGenerator.Destination(Address.of(HOST, TARGET_PORT), "/pair-0", TIMEOUT);
        checkAnswered(send(direct));
        TrafficSamples directSamples = send(direct);
        rows.addAll(coldStartRows("first 5 s of a node with warm-up", 1, directSamples));
        rows.addAll(coldStartRows("first 5 s of a node without warm-up", FIRST_PAIR_WITHOUT_WARMUP, directSamples));
        rows.addAll(warmRows(direct));
        return rows;
    }

    /** Sends one phase; a request that is not answered counts with at least the caller's timeout as its latency. */
    private TrafficSamples send(TrafficGenerator.Destination destination) {
        return generator
                .send(destination, REQUESTS_PER_SECOND, PHASE_MILLISECONDS)
                .withUnansweredLatencyAtLeast((double) TIMEOUT.toMillis());
    }

    private static void checkAnswered(TrafficSamples direct) {
        if (direct.filter(TrafficSample.Outcome.ANSWERED).count() == 0) {
            throw new IllegalStateException("the target does not answer when it is called directly");
        }
    }

    private void awaitReady() {
        boolean isReady = BenchClock.await(READY_TIMEOUT_MILLISECONDS, () -> {
            for (int pair = 1; pair <= NODE_PAIRS; pair++) {
                if (!isReady(pair)) {
                    return false;
                }
            }
            return true;
        });
        if (!isReady) {
            throw new IllegalStateException("the nodes of scripts/bench-two-hops-processes are not ready");
        }
    }

    private boolean isReady(int pair) {
        Optional<byte[]> endpoints =
                generator.fetch(Address.of(HOST, entryPort(pair) + OPERATOR_OFFSET), "/v1/endpoints");
        String json = endpoints
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .orElse("");
        return json.split("\"READY\"", -1).length > 2 * NODE_PAIRS;
    }

    private static int entryPort(int pair) {
        return FIRST_ENTRY_PORT + pair * PORTS_PER_PAIR;
    }

    private static TrafficGenerator.Destination entry(int pair) {
        return new TrafficGenerator.Destination(Address.of(HOST, entryPort(pair)), "/pair-" + pair, TIMEOUT);
    }

    // -- cold start

    private List<BenchRow> coldStartRows(String measure, int firstPair, TrafficSamples direct) {
        List<Double> added = new ArrayList<>();
        List<TrafficSamples> runs = new ArrayList<>();
        for (int pair = firstPair; pair < firstPair + REPEATS; pair++) {
            TrafficSamples viaNodes = send(entry(pair));
            runs.add(viaNodes);
            added.add(viaNodes.latencyPercentile(TAIL_PERCENTILE) - direct.latencyPercentile(TAIL_PERCENTILE));
        }
        BenchRow time = BenchRow.of("added at 99 in 100, " + measure, "ms", BenchSamples.of(added))
                .withBound(BenchBound.atMost(ADDED_LATENCY_BOUND_MILLISECONDS))
                .withBaseline(direct.latencyPercentile(TAIL_PERCENTILE))
                .withNote("baseline: the target called directly");
        return List.of(time, unansweredRow(measure, runs));
    }

    private static BenchRow unansweredRow(String measure, List<TrafficSamples> runs) {
        List<Double> unansweredPercents = new ArrayList<>();
        Map<TrafficSample.Outcome, Integer> outcomes = new EnumMap<>(TrafficSample.Outcome.class);
        for (TrafficSamples run : runs) {
            unansweredPercents.add(
                    PERCENT - run.filter(TrafficSample.Outcome.ANSWERED).percentOf(run));
            run.all().forEach(sample -> outcomes.merge(sample.outcome(), 1, Integer::sum));
        }
        return BenchRow.of("not answered, " + measure, "%", BenchSamples.of(unansweredPercents))
                .withNote("requests by outcome, all repeats: " + outcomes);
    }

    // -- after warm-up

    private List<BenchRow> warmRows(TrafficGenerator.Destination direct) {
        generator.send(entry(1), REQUESTS_PER_SECOND, WARMUP_MILLISECONDS);
        TwoHopProcess entry = TwoHopProcess.find(FOLDER, "entry-1");
        TwoHopProcess guard = TwoHopProcess.find(FOLDER, "guard-1");
        TwoHopProcess.ResourceUse entryBefore = entry.readResourceUse();
        TwoHopProcess.ResourceUse guardBefore = guard.readResourceUse();
        List<TrafficSamples> directRuns = new ArrayList<>();
        List<TrafficSamples> viaNodes = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            directRuns.add(send(direct));
            viaNodes.add(send(entry(1)));
        }
        List<BenchRow> rows = new ArrayList<>();
        rows.add(addedLatencyRow("added at 99 in 100, warm", TAIL_PERCENTILE, directRuns, viaNodes)
                .withBound(BenchBound.atMost(ADDED_LATENCY_BOUND_MILLISECONDS)));
        rows.add(addedLatencyRow("added at 1 in 2, warm", MEDIAN_PERCENTILE, directRuns, viaNodes));
        rows.add(unansweredRow("warm", viaNodes));
        rows.add(unansweredRow("target called directly", directRuns));
        int requests = viaNodes.stream().mapToInt(TrafficSamples::count).sum();
        rows.addAll(resourceRows("entry", entry, entryBefore, requests));
        rows.addAll(resourceRows("guard", guard, guardBefore, requests));
        return rows;
    }

    private static BenchRow addedLatencyRow(
            String measure, double percent, List<TrafficSamples> directRuns, List<TrafficSamples> viaNodes) {
        List<Double> added = new ArrayList<>();
        for (int repeat = 0; repeat < directRuns.size(); repeat++) {
            added.add(viaNodes.get(repeat).latencyPercentile(percent)
                    - directRuns.get(repeat).latencyPercentile(percent));
        }
        ToDoubleFunction<TrafficSamples> time = samples -> samples.latencyPercentile(percent);
        double baseline = BenchSamples.of(
                        directRuns.stream().mapToDouble(time).boxed().toList())
                .median();
        return BenchRow.of(measure, "ms", BenchSamples.of(added))
                .withBaseline(baseline)
                .withNote("baseline: the target called directly");
    }

    /** The processor time is that of the whole process, so it includes the node's control plane work. */
    private static List<BenchRow> resourceRows(
            String role, TwoHopProcess process, TwoHopProcess.ResourceUse before, int requests) {
        TwoHopProcess.ResourceUse after = process.readResourceUse();
        double microseconds =
                after.processorTime().minus(before.processorTime()).toNanos() * MICROSECONDS_PER_NANOSECOND;
        double bytes = after.allocatedMegabytesSince(before) * BYTES_PER_MEGABYTE;
        return List.of(
                BenchRow.of(role + ", processor time a request", "us", BenchSamples.of(microseconds / requests)),
                BenchRow.of(role + ", allocated a request", "bytes", BenchSamples.of(bytes / requests)),
                BenchRow.of(role + ", heap after its last collection", "MB", BenchSamples.of(after.heapMegabytes())),
                BenchRow.of(role + ", resident memory", "MB", BenchSamples.of(process.residentMegabytes())));
    }
}
