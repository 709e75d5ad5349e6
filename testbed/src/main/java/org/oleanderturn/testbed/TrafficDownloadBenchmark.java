package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Wait of short lookups while long downloads fill the same targets.
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
    private static final long FILLING_MILLISECONDS = 1_000;
    private static final int REPEATS = 3;
    private static final double HALF = 50;
    private static final double MOST = 99;
    private static final double PERCENT = 100;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final List<Integer> RESERVED_PERCENTS = List.of(0, 30, 50);

    private record Run(TrafficSamples lookups, TrafficSamples downloads) {}

    @Override
    public String name() {
        return "head-of-line";
    }

    @Override
    public String shows() {
        return "wait of short lookups while downloads ask for one and a half times the service, by reserved share";
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
                TrafficLoad load = new TrafficLoad();
                ExecutorService loads = Executors.newFixedThreadPool(2)) {
            Future<TrafficSamples> downloads =
                    loads.submit(() -> load.send(rig.entry("/download"), DOWNLOADS_PER_SECOND, RUN_MILLISECONDS));
            Future<TrafficSamples> lookups =
                    loads.submit(() -> load.send(rig.entry("/lookup"), LOOKUPS_PER_SECOND, RUN_MILLISECONDS));
            return new Run(
                    lookups.get().dueBetween(FILLING_MILLISECONDS, RUN_MILLISECONDS),
                    downloads.get().endedBetween(FILLING_MILLISECONDS, RUN_MILLISECONDS));
        } catch (InterruptedException | ExecutionException cause) {
            throw new IllegalStateException(cause);
        }
    }

    // -- rows

    private static List<BenchRow> rows(int percent, List<Run> runs, List<Run> baseline) {
        String at = ", " + percent + " in 100 slots kept for short requests";
        return List.of(
                row("lookups' time, 1 in 2" + at, "ms", times(runs, HALF), times(baseline, HALF)),
                row("lookups' time, 99 in 100" + at, "ms", times(runs, MOST), times(baseline, MOST)),
                row("lookups not answered" + at, "%", unanswered(runs), unanswered(baseline)),
                row("downloads answered" + at, "a second", downloads(runs), downloads(baseline)));
    }

    private static List<Double> times(List<Run> runs, double percent) {
        return runs.stream()
                .map(run -> run.lookups().only(TrafficSample.Kind.ANSWERED).percentile(percent))
                .toList();
    }

    private static List<Double> unanswered(List<Run> runs) {
        return runs.stream()
                .map(run -> PERCENT
                        - run.lookups().only(TrafficSample.Kind.ANSWERED).percentOf(run.lookups()))
                .toList();
    }

    private static List<Double> downloads(List<Run> runs) {
        return runs.stream()
                .map(run -> run.downloads().only(TrafficSample.Kind.ANSWERED).count()
                        * MILLISECONDS_PER_SECOND
                        / (RUN_MILLISECONDS - FILLING_MILLISECONDS))
                .toList();
    }

    private static BenchRow row(String measure, String unit, List<Double> values, List<Double> baseline) {
        return BenchRow.of(measure, unit, BenchSamples.of(values))
                .withBaseline(BenchSamples.of(baseline).median());
    }
}
