package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.ToDoubleFunction;
import org.oleanderturn.traffic.EjectionStrategy;

/**
 * The tail of lookups, from the moment when a third of the targets turns slow or fails, and the extra load sent.
 *
 * <p>Used by one thread.
 */
final class TrafficSlowThirdBenchmark implements BenchExperiment {
    private static final int TARGETS = 6;
    private static final int FAULTY = 2;
    private static final int SLOTS = 10;
    private static final int SERVICE_MILLISECONDS = 10;
    private static final int SLOW_FACTOR = 10;
    private static final int STRAGGLER_PERMILLE = 5;
    private static final int STRAGGLER_FACTOR = 8;
    private static final int TIMEOUT_MILLISECONDS = 2_000;
    private static final int REQUESTS_PER_SECOND = 600;
    private static final long CALM_MILLISECONDS = 1_000;
    private static final long FAULT_MILLISECONDS = 4_000;
    private static final int REPEATS = 3;
    private static final double HALF = 50;
    private static final double MOST = 99;
    private static final double NEARLY_ALL = 99.9;
    private static final double PERCENT = 100;
    private static final EjectionStrategy.ConsecutiveFailures RUN = new EjectionStrategy.ConsecutiveFailures(5);
    private static final EjectionStrategy.FailureRate SHARE = new EjectionStrategy.FailureRate(50, 10);

    private final Fault fault;

    private TrafficSlowThirdBenchmark(Fault fault) {
        this.fault = Objects.requireNonNull(fault, "fault is null");
    }

    private enum Fault {
        SLOW,
        FAILING
    }

    /** A policy that is compared. */
    private record Arm(String name, TrafficPlan plan, boolean isGuarded) {}

    private record Run(TrafficSamples samples, double extraPercent) {}

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
    public String shows() {
        return switch (fault) {
            case SLOW -> "tail of lookups and extra load while a third of the targets is slowed tenfold";
            case FAILING ->
                "failures, tail and extra load while a third of the targets fails outright, by ejection rule";
        };
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        List<List<Run>> runs = new ArrayList<>();
        List<Arm> arms = arms();
        arms.forEach(_ -> runs.add(new ArrayList<>()));
        runOnce(arms.getFirst());
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            for (int number = 0; number < arms.size(); number++) {
                runs.get(number).add(runOnce(arms.get(number)));
            }
        }
        for (int number = 0; number < arms.size(); number++) {
            rows.addAll(rows(arms.get(number), runs.get(number), runs.getLast()));
        }
        return rows;
    }

    private List<Arm> arms() {
        TrafficPlan plan = TrafficPlan.of(TARGETS, behaviour(1, 0), TIMEOUT_MILLISECONDS);
        Arm random = new Arm("random choice, no limit, no budget", plan, false);
        return switch (fault) {
            case SLOW ->
                List.of(
                        new Arm("the policy", plan, true),
                        new Arm("the policy without hedges", plan.withoutHedges(), true),
                        new Arm("the policy without ejection", plan.withoutEjection(), true),
                        random);
            case FAILING ->
                List.of(
                        new Arm("run or share", plan.with(new EjectionStrategy.ConsecutiveOrRate(RUN, SHARE)), true),
                        new Arm("share alone", plan.with(SHARE), true),
                        new Arm("run alone", plan.with(RUN), true),
                        random);
        };
    }

    private static TargetBehaviour behaviour(int slowFactor, int failPercent) {
        return new TargetBehaviour(
                SLOTS, SERVICE_MILLISECONDS, STRAGGLER_PERMILLE, STRAGGLER_FACTOR, slowFactor, failPercent, true, 1, 1);
    }

    private TargetBehaviour faulty() {
        return switch (fault) {
            case SLOW -> behaviour(SLOW_FACTOR, 0);
            case FAILING -> behaviour(1, (int) PERCENT);
        };
    }

    private Run runOnce(Arm arm) {
        try (TrafficRig rig = TrafficRig.start(arm.plan());
                TrafficLoad load = new TrafficLoad()) {
            TrafficLoad.Aim aim = arm.isGuarded() ? rig.entry("/lookup") : rig.randomEntry("/lookup");
            load.send(aim, REQUESTS_PER_SECOND, CALM_MILLISECONDS);
            long before = rig.begun(load);
            rig.setBehaviour(FAULTY, faulty());
            TrafficSamples samples = load.send(aim, REQUESTS_PER_SECOND, FAULT_MILLISECONDS);
            double begun = rig.begun(load) - (double) before;
            return new Run(samples, PERCENT * (begun / samples.count() - 1));
        }
    }

    // -- rows

    private static List<BenchRow> rows(Arm arm, List<Run> runs, List<Run> simplest) {
        return List.of(
                row(arm, "time, 50 in 100", "ms", run -> run.samples().percentile(HALF), runs, simplest),
                row(arm, "time, 99 in 100", "ms", run -> run.samples().percentile(MOST), runs, simplest),
                row(arm, "time, 99.9 in 100", "ms", run -> run.samples().percentile(NEARLY_ALL), runs, simplest),
                row(arm, "lookups not answered", "%", TrafficSlowThirdBenchmark::unanswered, runs, simplest),
                row(arm, "extra requests begun", "%", Run::extraPercent, runs, simplest));
    }

    private static double unanswered(Run run) {
        return PERCENT - run.samples().only(TrafficSample.Kind.ANSWERED).percentOf(run.samples());
    }

    private static BenchRow row(
            Arm arm, String measure, String unit, ToDoubleFunction<Run> figure, List<Run> runs, List<Run> simplest) {
        return BenchRow.of(arm.name() + ": " + measure, unit, samples(figure, runs))
                .withBaseline(samples(figure, simplest).median());
    }

    private static BenchSamples samples(ToDoubleFunction<Run> figure, List<Run> runs) {
        return BenchSamples.of(runs.stream().mapToDouble(figure).boxed().toList());
    }
}
