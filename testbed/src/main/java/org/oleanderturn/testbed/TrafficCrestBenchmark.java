package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Service while demand is above capacity, and the time until all is well after it.
 *
 * <p>Used by one thread.
 */
final class TrafficCrestBenchmark implements BenchExperiment {
    private static final int TARGETS = 5;
    private static final int SLOTS = 10;
    private static final int SERVICE_MILLISECONDS = 100;
    private static final int CAPACITY_PER_SECOND = TARGETS * SLOTS * 1_000 / SERVICE_MILLISECONDS;
    private static final int PATIENCE_MILLISECONDS = 1_000;
    private static final double CALM = 0.6;
    private static final long BEFORE_MILLISECONDS = 1_000;
    private static final long CREST_MILLISECONDS = 2_500;
    private static final long AFTER_MILLISECONDS = 3_000;
    private static final int REPEATS = 3;
    private static final double MOST = 99;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final double PERCENT = 100;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final List<Double> CRESTS = List.of(1.5, 3.0);

    @Override
    public String name() {
        return "crest";
    }

    @Override
    public String shows() {
        return "goodput, refusals and late lookups at 1.5 and 3 times capacity, and the time to recover";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        TargetBehaviour behaviour = new TargetBehaviour(SLOTS, SERVICE_MILLISECONDS, 0, 1, 1, 0, true, 1, 1);
        TrafficPlan plan =
                TrafficPlan.of(TARGETS, behaviour, PATIENCE_MILLISECONDS).with(TrafficPlan.TargetKind.QUEUEING);
        runOnce(plan, 1.0, true);
        for (double crest : CRESTS) {
            List<TrafficSamples> runs = new ArrayList<>();
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                runs.add(runOnce(plan, crest, true));
            }
            rows.addAll(rows(crest, runs, runOnce(plan, crest, false)));
        }
        return rows;
    }

    private static TrafficSamples runOnce(TrafficPlan plan, double crest, boolean isGuarded) {
        try (TrafficRig rig = TrafficRig.start(plan);
                TrafficLoad load = new TrafficLoad()) {
            List<TrafficLoad.Stretch> stretches = List.of(
                    new TrafficLoad.Stretch(perSecond(CALM), BEFORE_MILLISECONDS),
                    new TrafficLoad.Stretch(perSecond(crest), CREST_MILLISECONDS),
                    new TrafficLoad.Stretch(perSecond(CALM), AFTER_MILLISECONDS));
            return load.send(isGuarded ? rig.entry("/lookup") : rig.randomEntry("/lookup"), stretches);
        }
    }

    private static int perSecond(double share) {
        return (int) Math.round(CAPACITY_PER_SECOND * share);
    }

    // -- rows

    private static List<BenchRow> rows(double crest, List<TrafficSamples> runs, TrafficSamples baseline) {
        String at = ", crest of " + crest + " times capacity";
        return List.of(
                row("goodput, share of capacity" + at, "%", TrafficCrestBenchmark::goodput, runs, baseline),
                row("refused honestly, share of lookups" + at, "%", TrafficCrestBenchmark::refused, runs, baseline),
                row("time to a refusal, 99 in 100" + at, "ms", TrafficCrestBenchmark::refusalTime, runs, baseline),
                row("late, failed or lost, share of lookups" + at, "%", TrafficCrestBenchmark::bad, runs, baseline),
                row("time to recover after" + at, "ms", TrafficCrestBenchmark::recovery, runs, baseline)
                        .withNote("baseline: random choice, no limit, no budget, one run; watched for "
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

    private static TrafficSamples crest(TrafficSamples run) {
        return run.dueBetween(BEFORE_MILLISECONDS, BEFORE_MILLISECONDS + CREST_MILLISECONDS);
    }

    private static double goodput(TrafficSamples run) {
        double perSecond =
                crest(run).answeredWithin(PATIENCE_MILLISECONDS).count() * MILLISECONDS_PER_SECOND / CREST_MILLISECONDS;
        return PERCENT * perSecond / CAPACITY_PER_SECOND;
    }

    private static double refused(TrafficSamples run) {
        return crest(run).only(TrafficSample.Kind.REFUSED).percentOf(crest(run));
    }

    private static double refusalTime(TrafficSamples run) {
        return crest(run).only(TrafficSample.Kind.REFUSED).percentile(MOST);
    }

    private static double bad(TrafficSamples run) {
        TrafficSamples during = crest(run);
        return PERCENT
                - during.answeredWithin(PATIENCE_MILLISECONDS).percentOf(during)
                - during.only(TrafficSample.Kind.REFUSED).percentOf(during);
    }

    /** Returns the time from the crest's end to the last lookup that was not answered in time. */
    private static double recovery(TrafficSamples run) {
        double end = BEFORE_MILLISECONDS + CREST_MILLISECONDS;
        TrafficSamples after = run.dueBetween(end, Double.MAX_VALUE);
        double patience = PATIENCE_MILLISECONDS * NANOSECONDS_PER_MILLISECOND;
        return after.all().stream()
                .filter(sample -> sample.kind() != TrafficSample.Kind.ANSWERED || sample.tookNanoseconds() > patience)
                .mapToDouble(sample -> sample.dueNanoseconds() / NANOSECONDS_PER_MILLISECOND - end)
                .reduce(0, Math::max);
    }
}
