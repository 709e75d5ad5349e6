package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Goodput and refusals while demand exceeds capacity, and the time to recover afterwards.
 *
 * <p>Used by one thread.
 */
final class TrafficOverloadBenchmark implements BenchExperiment {
    private static final int TARGETS = 5;
    private static final int SLOTS = 10;
    private static final int SERVICE_MILLISECONDS = 100;
    private static final int CAPACITY_PER_SECOND = TARGETS * SLOTS * 1_000 / SERVICE_MILLISECONDS;
    private static final int TIMEOUT_MILLISECONDS = 1_000;
    private static final double NORMAL_LOAD = 0.6;
    private static final long BEFORE_MILLISECONDS = 1_000;
    private static final long OVERLOAD_MILLISECONDS = 2_500;
    private static final long AFTER_MILLISECONDS = 3_000;
    private static final int REPEATS = 3;
    private static final double TAIL_PERCENTILE = 99;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final double PERCENT = 100;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final List<Double> OVERLOAD_FACTORS = List.of(1.5, 3.0);

    @Override
    public String name() {
        return "crest";
    }

    @Override
    public String description() {
        return "goodput, refusals and late lookups at 1.5 and 3 times capacity, and the time to recover";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        TargetBehaviour behaviour = new TargetBehaviour(SLOTS, SERVICE_MILLISECONDS, 0, 1, 1, 0, true, 1, 1);
        TrafficPlan plan =
                TrafficPlan.of(TARGETS, behaviour, TIMEOUT_MILLISECONDS).with(TrafficPlan.TargetKind.QUEUEING);
        runOnce(plan, 1.0, true);
        for (double overloadFactor : OVERLOAD_FACTORS) {
            List<TrafficSamples> runs = new ArrayList<>();
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                runs.add(runOnce(plan, overloadFactor, true));
            }
            rows.addAll(rows(overloadFactor, runs, runOnce(plan, overloadFactor, false)));
        }
        return rows;
    }

    private static TrafficSamples runOnce(TrafficPlan plan, double overloadFactor, boolean isGuarded) {
        try (TrafficRig rig = TrafficRig.start(plan);
                TrafficGenerator generator = new TrafficGenerator()) {
            List<TrafficGenerator.Phase> phases = List.of(
                    new TrafficGenerator.Phase(requestsPerSecond(NORMAL_LOAD), BEFORE_MILLISECONDS),
                    new TrafficGenerator.Phase(requestsPerSecond(overloadFactor), OVERLOAD_MILLISECONDS),
                    new TrafficGenerator.Phase(requestsPerSecond(NORMAL_LOAD), AFTER_MILLISECONDS));
            return generator.send(isGuarded ? rig.entry("/lookup") : rig.randomEntry("/lookup"), phases);
        }
    }

    private static int requestsPerSecond(double capacityShare) {
        return (int) Math.round(CAPACITY_PER_SECOND * capacityShare);
    }

    // -- rows

    private static List<BenchRow> rows(double overloadFactor, List<TrafficSamples> runs, TrafficSamples baseline) {
        String condition = ", crest of " + overloadFactor + " times capacity";
        return List.of(
                row(
                        "goodput, share of capacity" + condition,
                        "%",
                        TrafficOverloadBenchmark::goodputPercent,
                        runs,
                        baseline),
                row(
                        "refused honestly, share of lookups" + condition,
                        "%",
                        TrafficOverloadBenchmark::refusedPercent,
                        runs,
                        baseline),
                row(
                        "time to a refusal, 99 in 100" + condition,
                        "ms",
                        TrafficOverloadBenchmark::refusalLatency,
                        runs,
                        baseline),
                row(
                        "late, failed or lost, share of lookups" + condition,
                        "%",
                        TrafficOverloadBenchmark::lateOrFailedPercent,
                        runs,
                        baseline),
                row(
                                "time to recover after" + condition,
                                "ms",
                                TrafficOverloadBenchmark::recoveryMilliseconds,
                                runs,
                                baseline)
                        .withNote("baseline: random choice, no limit, no budget, one run; observed for "
                                + AFTER_MILLISECONDS + " ms"));
    }

    private static BenchRow row(
            String measure,
            String unit,
            ToDoubleFunction<TrafficSamples> figure,
            List<TrafficSamples> runs,
            TrafficSamples baseline) {
        List<Double> figures = runs.stream().mapToDouble(figure).boxed().toList();
        return BenchRow.of(measure, unit, BenchSamples.of(figures)).withBaseline(figure.applyAsDouble(baseline));
    }

    private static TrafficSamples duringOverload(TrafficSamples run) {
        return run.dueBetween(BEFORE_MILLISECONDS, BEFORE_MILLISECONDS + OVERLOAD_MILLISECONDS);
    }

    private static double goodputPercent(TrafficSamples run) {
        double perSecond =
                duringOverload(run).answeredWithin(TIMEOUT_MILLISECONDS).count()
                        * MILLISECONDS_PER_SECOND
                        / OVERLOAD_MILLISECONDS;
        return PERCENT * perSecond / CAPACITY_PER_SECOND;
    }

    private static double refusedPercent(TrafficSamples run) {
        return duringOverload(run).filter(TrafficSample.Outcome.REFUSED).percentOf(duringOverload(run));
    }

    private static double refusalLatency(TrafficSamples run) {
        return duringOverload(run).filter(TrafficSample.Outcome.REFUSED).latencyPercentile(TAIL_PERCENTILE);
    }

    private static double lateOrFailedPercent(TrafficSamples run) {
        TrafficSamples during = duringOverload(run);
        return PERCENT
                - during.answeredWithin(TIMEOUT_MILLISECONDS).percentOf(during)
                - during.filter(TrafficSample.Outcome.REFUSED).percentOf(during);
    }

    /** Returns the time from the end of the overload to the last lookup that was not answered in time; 0 if none. */
    private static double recoveryMilliseconds(TrafficSamples run) {
        double end = BEFORE_MILLISECONDS + OVERLOAD_MILLISECONDS;
        TrafficSamples after = run.dueBetween(end, Double.MAX_VALUE);
        double timeoutNanoseconds = TIMEOUT_MILLISECONDS * NANOSECONDS_PER_MILLISECOND;
        return after.all().stream()
                .filter(sample -> sample.outcome() != TrafficSample.Outcome.ANSWERED
                        || sample.latencyNanoseconds() > timeoutNanoseconds)
                .mapToDouble(sample -> sample.dueNanoseconds() / NANOSECONDS_PER_MILLISECOND - end)
                .reduce(0, Math::max);
    }
}
