package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.ToDoubleFunction;
import org.oleanderturn.traffic.EjectionStrategy;

/**
 * Tail latency of lookups and extra requests sent, from the moment when a third of the targets becomes slow or fails.
 *
 * <p>Used by one thread.
 */
final class TrafficSlowThirdBenchmark implements BenchExperiment {
    private static final int TARGETS = 6;
    private static final int FAULTY_TARGETS = 2;
    private static final int SLOTS = 10;
    private static final int SERVICE_MILLISECONDS = 10;
    private static final int SLOW_FACTOR = 10;
    private static final int STRAGGLER_PERMILLE = 5;
    private static final int STRAGGLER_FACTOR = 8;
    private static final int TIMEOUT_MILLISECONDS = 2_000;
    private static final int REQUESTS_PER_SECOND = 600;
    private static final long BEFORE_FAULT_MILLISECONDS = 1_000;
    private static final long FAULT_MILLISECONDS = 4_000;
    private static final int REPEATS = 3;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;
    private static final double FAR_TAIL_PERCENTILE = 99.9;
    private static final double PERCENT = 100;
    private static final EjectionStrategy.ConsecutiveFailures CONSECUTIVE_FAILURES =
            new EjectionStrategy.ConsecutiveFailures(5);
    private static final EjectionStrategy.FailureRate FAILURE_RATE = new EjectionStrategy.FailureRate(50, 10);

    private final Fault fault;

    private TrafficSlowThirdBenchmark(Fault fault) {
        this.fault = Objects.requireNonNull(fault, "fault is null");
    }

    private enum Fault {
        SLOW,
        FAILING
    }

    /** One of the compared configurations; {@code isGuarded} is false for the random entry without guards. */
    private record Variant(String name, TrafficPlan plan, boolean isGuarded) {}

    private record Run(TrafficSamples samples, double extraRequestsPercent) {}

    static BenchExperiment slow() {
        return new TrafficSlowThirdBenchmark(Fault.SLOW);
    }

    static BenchExperiment failing() {
        return new TrafficSlowThirdBenchmark(Fault.FAILING);
    }

    @Override
    public String name() {
        return switch (fault) {
            case SLOW -> "slow-third";
            case FAILING -> "failing-third";
        };
    }

    @Override
    public String description() {
        return switch (fault) {
            case SLOW -> "tail latency of lookups and extra load while a third of the targets is ten times slower";
            case FAILING ->
                "failures, tail latency and extra load while a third of the targets fails every request, by ejection rule";
        };
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        List<List<Run>> runs = new ArrayList<>();
        List<Variant> variants = variants();
        variants.forEach(_ -> runs.add(new ArrayList<>()));
        runOnce(variants.getFirst());
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            for (int number = 0; number < variants.size(); number++) {
                runs.get(number).add(runOnce(variants.get(number)));
            }
        }
        for (int number = 0; number < variants.size(); number++) {
            rows.addAll(rows(variants.get(number), runs.get(number), runs.getLast()));
        }
        return rows;
    }

    private List<Variant> variants() {
        TrafficPlan plan = TrafficPlan.of(TARGETS, behaviour(1, 0), TIMEOUT_MILLISECONDS);
        Variant random = new Variant("random choice, no limit, no budget", plan, false);
        return switch (fault) {
            case SLOW ->
                List.of(
                        new Variant("the policy", plan, true),
                        new Variant("the policy without hedges", plan.withoutHedges(), true),
                        new Variant("the policy without ejection", plan.withoutEjection(), true),
                        random);
            case FAILING ->
                List.of(
                        new Variant(
                                "run or share",
                                plan.with(new EjectionStrategy.ConsecutiveOrRate(CONSECUTIVE_FAILURES, FAILURE_RATE)),
                                true),
                        new Variant("share alone", plan.with(FAILURE_RATE), true),
                        new Variant("run alone", plan.with(CONSECUTIVE_FAILURES), true),
                        random);
        };
    }

    private static TargetBehaviour behaviour(int slowFactor, int failPercent) {
        return new TargetBehaviour(
                SLOTS, SERVICE_MILLISECONDS, STRAGGLER_PERMILLE, STRAGGLER_FACTOR, slowFactor, failPercent, true, 1, 1);
    }

    private TargetBehaviour faultyBehaviour() {
        return switch (fault) {
            case SLOW -> behaviour(SLOW_FACTOR, 0);
            case FAILING -> behaviour(1, (int) PERCENT);
        };
    }

    private Run runOnce(Variant variant) {
        try (TrafficRig rig = TrafficRig.start(variant.plan());
                TrafficGenerator generator = new TrafficGenerator()) {
            TrafficGenerator.Destination destination =
                    variant.isGuarded() ? rig.entry("/lookup") : rig.randomEntry("/lookup");
            generator.send(destination, REQUESTS_PER_SECOND, BEFORE_FAULT_MILLISECONDS);
            long startedBefore = rig.countStartedRequests(generator);
            rig.setBehaviour(FAULTY_TARGETS, faultyBehaviour());
            TrafficSamples samples = generator.send(destination, REQUESTS_PER_SECOND, FAULT_MILLISECONDS);
            double started = rig.countStartedRequests(generator) - (double) startedBefore;
            return new Run(samples, PERCENT * (started / samples.count() - 1));
        }
    }

    // -- rows

    private static List<BenchRow> rows(Variant variant, List<Run> runs, List<Run> baseline) {
        return List.of(
                row(
                        variant,
                        "time, 50 in 100",
                        "ms",
                        run -> run.samples().latencyPercentile(MEDIAN_PERCENTILE),
                        runs,
                        baseline),
                row(
                        variant,
                        "time, 99 in 100",
                        "ms",
                        run -> run.samples().latencyPercentile(TAIL_PERCENTILE),
                        runs,
                        baseline),
                row(
                        variant,
                        "time, 99.9 in 100",
                        "ms",
                        run -> run.samples().latencyPercentile(FAR_TAIL_PERCENTILE),
                        runs,
                        baseline),
                row(variant, "lookups not answered", "%", TrafficSlowThirdBenchmark::unansweredPercent, runs, baseline),
                row(variant, "extra requests begun", "%", Run::extraRequestsPercent, runs, baseline));
    }

    private static double unansweredPercent(Run run) {
        return PERCENT - run.samples().filter(TrafficSample.Outcome.ANSWERED).percentOf(run.samples());
    }

    private static BenchRow row(
            Variant variant,
            String measure,
            String unit,
            ToDoubleFunction<Run> figure,
            List<Run> runs,
            List<Run> baseline) {
        return BenchRow.of(variant.name() + ": " + measure, unit, samples(figure, runs))
                .withBaseline(samples(figure, baseline).median());
    }

    private static BenchSamples samples(ToDoubleFunction<Run> figure, List<Run> runs) {
        return BenchSamples.of(runs.stream().mapToDouble(figure).boxed().toList());
    }
}
