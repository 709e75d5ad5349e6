package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Latency of short lookups while long downloads saturate the same targets (head-of-line blocking).
 *
 * <p>Used by one thread.
 */
final class TrafficDownloadBenchmark implements BenchExperiment {
    private static final int TARGETS = 4;
    private static final int SLOTS = 10;
    private static final int SERVICE_MILLISECONDS = 5;
    private static final int DOWNLOAD_BYTES = 200_000;
    private static final int DOWNLOAD_MILLISECONDS = 1_000;
    private static final int TIMEOUT_MILLISECONDS = 2_000;
    private static final int LOOKUPS_PER_SECOND = 200;
    private static final int DOWNLOADS_PER_SECOND = 60;
    private static final long RUN_MILLISECONDS = 5_000;
    private static final long RAMP_UP_MILLISECONDS = 1_000;
    private static final int REPEATS = 3;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;
    private static final double PERCENT = 100;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final List<Integer> RESERVED_PERCENTS = List.of(0, 30, 50);

    private record Run(TrafficSamples lookups, TrafficSamples downloads) {}

    @Override
    public String name() {
        return "head-of-line";
    }

    @Override
    public String description() {
        return "latency of short lookups while downloads demand 1.5 times the capacity, by reserved share";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        runOnce(0);
        List<Run> baseline = repeat(0);
        for (int percent : RESERVED_PERCENTS) {
            List<Run> runs = percent == 0 ? baseline : repeat(percent);
            rows.addAll(rows(percent, runs, baseline));
        }
        return rows;
    }

    private static List<Run> repeat(int reservedPercent) {
        List<Run> runs = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            runs.add(runOnce(reservedPercent));
        }
        return runs;
    }

    private static Run runOnce(int reservedPercent) {
        TargetBehaviour behaviour = new TargetBehaviour(
                SLOTS, SERVICE_MILLISECONDS, 0, 1, 1, 0, true, DOWNLOAD_BYTES, DOWNLOAD_MILLISECONDS);
        TrafficPlan plan =
                TrafficPlan.of(TARGETS, behaviour, TIMEOUT_MILLISECONDS).withReservedShortPercent(reservedPercent);
        try (TrafficRig rig = TrafficRig.start(plan);
                TrafficGenerator generator = new TrafficGenerator();
                ExecutorService executor = Executors.newFixedThreadPool(2)) {
            Future<TrafficSamples> downloads = executor.submit(
                    () -> generator.send(rig.entry("/download"), DOWNLOADS_PER_SECOND, RUN_MILLISECONDS));
            Future<TrafficSamples> lookups =
                    executor.submit(() -> generator.send(rig.entry("/lookup"), LOOKUPS_PER_SECOND, RUN_MILLISECONDS));
            return new Run(
                    lookups.get().dueBetween(RAMP_UP_MILLISECONDS, RUN_MILLISECONDS),
                    downloads.get().completedBetween(RAMP_UP_MILLISECONDS, RUN_MILLISECONDS));
        } catch (InterruptedException | ExecutionException cause) {
            throw new IllegalStateException(cause);
        }
    }

    // -- rows

    private static List<BenchRow> rows(int percent, List<Run> runs, List<Run> baseline) {
        String condition = ", " + percent + " in 100 slots kept for short requests";
        return List.of(
                row(
                        "lookups' time, 1 in 2" + condition,
                        "ms",
                        latencies(runs, MEDIAN_PERCENTILE),
                        latencies(baseline, MEDIAN_PERCENTILE)),
                row(
                        "lookups' time, 99 in 100" + condition,
                        "ms",
                        latencies(runs, TAIL_PERCENTILE),
                        latencies(baseline, TAIL_PERCENTILE)),
                row("lookups not answered" + condition, "%", unansweredPercents(runs), unansweredPercents(baseline)),
                row("downloads answered" + condition, "a second", downloadRates(runs), downloadRates(baseline)));
    }

    private static List<Double> latencies(List<Run> runs, double percent) {
        return runs.stream()
                .map(run -> run.lookups().filter(TrafficSample.Outcome.ANSWERED).latencyPercentile(percent))
                .toList();
    }

    private static List<Double> unansweredPercents(List<Run> runs) {
        return runs.stream()
                .map(run -> PERCENT
                        - run.lookups().filter(TrafficSample.Outcome.ANSWERED).percentOf(run.lookups()))
                .toList();
    }

    private static List<Double> downloadRates(List<Run> runs) {
        return runs.stream()
                .map(run ->
                        run.downloads().filter(TrafficSample.Outcome.ANSWERED).count()
                                * MILLISECONDS_PER_SECOND
                                / (RUN_MILLISECONDS - RAMP_UP_MILLISECONDS))
                .toList();
    }

    private static BenchRow row(String measure, String unit, List<Double> values, List<Double> baseline) {
        return BenchRow.of(measure, unit, BenchSamples.of(values))
                .withBaseline(BenchSamples.of(baseline).median());
    }
}
