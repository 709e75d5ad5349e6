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
 * Time that the way through an entry and a guard adds to a call, and what the two nodes use.
 *
 * <p>The processes are those of {@code scripts/bench-two-hops-processes}. Used by one thread.
 */
final class TwoHopBenchmark implements BenchExperiment {
    private static final Path FOLDER = Path.of("target", "bench", "two-hops");
    private static final String HOST = "127.0.0.1";
    private static final int TARGET_PORT = 26_001;
    private static final int FIRST_ENTRY_PORT = 26_051;
    private static final int PORTS_PER_PAIR = 100;
    private static final int OPERATOR_OFFSET = 3;
    private static final int PAIRS = 6;
    private static final int FIRST_WITHOUT_WARMUP = 4;
    private static final int REQUESTS_PER_SECOND = 500;
    private static final int REPEATS = 3;
    private static final long STRETCH_MILLISECONDS = 5_000;
    private static final long WARMING_MILLISECONDS = 10_000;
    private static final long READY_MILLISECONDS = 40_000;
    private static final double MOST = 99;
    private static final double HALF = 50;
    private static final double PERCENT = 100;
    private static final double BOUND_MILLISECONDS = 1.7;
    private static final double BYTES_PER_MEGABYTE = 1_048_576;
    private static final double MICROSECONDS_PER_NANOSECOND = 1e-3;
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    private final TrafficLoad load = new TrafficLoad();

    @Override
    public String name() {
        return "two-hops";
    }

    @Override
    public String shows() {
        return "time added by entry and guard at 500 requests/s, cold and warm, and what a node uses for a request";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        awaitReady();
        TrafficLoad.Aim direct = new TrafficLoad.Aim(Address.of(HOST, TARGET_PORT), "/pair-0", PATIENCE);
        checkAnswered(send(direct));
        TrafficSamples before = send(direct);
        rows.addAll(cold("first 5 s of a node with warm-up", 1, before));
        rows.addAll(cold("first 5 s of a node without warm-up", FIRST_WITHOUT_WARMUP, before));
        rows.addAll(warm(direct));
        return rows;
    }

    /** Sends one stretch; a request that is not answered counts as one that took all of its caller's patience. */
    private TrafficSamples send(TrafficLoad.Aim aim) {
        return load.send(aim, REQUESTS_PER_SECOND, STRETCH_MILLISECONDS)
                .withUnansweredAtLeast((double) PATIENCE.toMillis());
    }

    private static void checkAnswered(TrafficSamples direct) {
        if (direct.only(TrafficSample.Kind.ANSWERED).count() == 0) {
            throw new IllegalStateException("the target does not answer when it is called directly");
        }
    }

    private void awaitReady() {
        boolean isReady = BenchClock.await(READY_MILLISECONDS, () -> {
            for (int pair = 1; pair <= PAIRS; pair++) {
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
        Optional<byte[]> endpoints = load.fetch(Address.of(HOST, entryPort(pair) + OPERATOR_OFFSET), "/v1/endpoints");
        String text = endpoints
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .orElse("");
        return text.split("\"READY\"", -1).length > 2 * PAIRS;
    }

    private static int entryPort(int pair) {
        return FIRST_ENTRY_PORT + pair * PORTS_PER_PAIR;
    }

    private static TrafficLoad.Aim entry(int pair) {
        return new TrafficLoad.Aim(Address.of(HOST, entryPort(pair)), "/pair-" + pair, PATIENCE);
    }

    // -- cold

    private List<BenchRow> cold(String measure, int firstPair, TrafficSamples direct) {
        List<Double> added = new ArrayList<>();
        List<TrafficSamples> runs = new ArrayList<>();
        for (int pair = firstPair; pair < firstPair + REPEATS; pair++) {
            TrafficSamples through = send(entry(pair));
            runs.add(through);
            added.add(through.percentile(MOST) - direct.percentile(MOST));
        }
        BenchRow time = BenchRow.of("added at 99 in 100, " + measure, "ms", BenchSamples.of(added))
                .withBound(BenchBound.atMost(BOUND_MILLISECONDS))
                .withBaseline(direct.percentile(MOST))
                .withNote("baseline: the target called directly");
        return List.of(time, unanswered(measure, runs));
    }

    private static BenchRow unanswered(String measure, List<TrafficSamples> runs) {
        List<Double> shares = new ArrayList<>();
        Map<TrafficSample.Kind, Integer> kinds = new EnumMap<>(TrafficSample.Kind.class);
        for (TrafficSamples run : runs) {
            shares.add(PERCENT - run.only(TrafficSample.Kind.ANSWERED).percentOf(run));
            run.all().forEach(sample -> kinds.merge(sample.kind(), 1, Integer::sum));
        }
        return BenchRow.of("not answered, " + measure, "%", BenchSamples.of(shares))
                .withNote("requests by end, all repeats: " + kinds);
    }

    // -- warm

    private List<BenchRow> warm(TrafficLoad.Aim direct) {
        load.send(entry(1), REQUESTS_PER_SECOND, WARMING_MILLISECONDS);
        TwoHopProcess entry = TwoHopProcess.find(FOLDER, "entry-1");
        TwoHopProcess guard = TwoHopProcess.find(FOLDER, "guard-1");
        TwoHopProcess.Use entryBefore = entry.use();
        TwoHopProcess.Use guardBefore = guard.use();
        List<TrafficSamples> directly = new ArrayList<>();
        List<TrafficSamples> through = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            directly.add(send(direct));
            through.add(send(entry(1)));
        }
        List<BenchRow> rows = new ArrayList<>();
        rows.add(added("added at 99 in 100, warm", MOST, directly, through)
                .withBound(BenchBound.atMost(BOUND_MILLISECONDS)));
        rows.add(added("added at 1 in 2, warm", HALF, directly, through));
        rows.add(unanswered("warm", through));
        rows.add(unanswered("target called directly", directly));
        int requests = through.stream().mapToInt(TrafficSamples::count).sum();
        rows.addAll(uses("entry", entry, entryBefore, requests));
        rows.addAll(uses("guard", guard, guardBefore, requests));
        return rows;
    }

    private static BenchRow added(
            String measure, double percent, List<TrafficSamples> directly, List<TrafficSamples> through) {
        List<Double> added = new ArrayList<>();
        for (int repeat = 0; repeat < directly.size(); repeat++) {
            added.add(through.get(repeat).percentile(percent)
                    - directly.get(repeat).percentile(percent));
        }
        ToDoubleFunction<TrafficSamples> time = samples -> samples.percentile(percent);
        double baseline = BenchSamples.of(
                        directly.stream().mapToDouble(time).boxed().toList())
                .median();
        return BenchRow.of(measure, "ms", BenchSamples.of(added))
                .withBaseline(baseline)
                .withNote("baseline: the target called directly");
    }

    /** The processor time includes the node's control work, for it is that of the whole process. */
    private static List<BenchRow> uses(String role, TwoHopProcess process, TwoHopProcess.Use before, int requests) {
        TwoHopProcess.Use after = process.use();
        double processor = after.processor().minus(before.processor()).toNanos() * MICROSECONDS_PER_NANOSECOND;
        double bytes = after.allocatedMegabytesSince(before) * BYTES_PER_MEGABYTE;
        return List.of(
                BenchRow.of(role + ", processor time a request", "us", BenchSamples.of(processor / requests)),
                BenchRow.of(role + ", allocated a request", "bytes", BenchSamples.of(bytes / requests)),
                BenchRow.of(role + ", heap after its last collection", "MB", BenchSamples.of(after.heapMegabytes())),
                BenchRow.of(role + ", resident memory", "MB", BenchSamples.of(process.residentMegabytes())));
    }
}
