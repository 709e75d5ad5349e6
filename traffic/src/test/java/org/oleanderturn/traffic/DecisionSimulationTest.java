package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Compares configurations in a simulation in virtual time; the results are written to target/trials/traffic.txt. */
final class DecisionSimulationTest {
    private static final int SEEDS = 3;
    private static final EjectionStrategy CONSECUTIVE_FAILURES = new EjectionStrategy.ConsecutiveFailures(5);
    private static final EjectionStrategy FAILURE_RATE = new EjectionStrategy.FailureRate(50, 10);
    private static final EjectionSettings WITHOUT_LATENCY_CHECK = new EjectionSettings(
            ((EjectionStrategy.ConsecutiveOrRate) EjectionSettings.defaults().strategy()),
            0,
            50,
            EjectionSettings.defaults().baseDuration(),
            EjectionSettings.defaults().maximumDuration());
    private static final DecisionSimulation.Variant DEFAULT =
            new DecisionSimulation.Variant("default", false, EjectionSettings.defaults(), true, true, 20);
    private static final DecisionSimulation.Variant BASELINE =
            new DecisionSimulation.Variant("random", true, EjectionSettings.disabled(), false, false, -1);
    private static final List<DecisionSimulation.Variant> VARIANTS = List.of(
            BASELINE,
            new DecisionSimulation.Variant("two choices", false, EjectionSettings.disabled(), false, false, 20),
            new DecisionSimulation.Variant("two choices, hedge", false, EjectionSettings.disabled(), true, false, 20),
            new DecisionSimulation.Variant("ejection without latency", false, WITHOUT_LATENCY_CHECK, true, false, 20),
            new DecisionSimulation.Variant(
                    "ejection by consecutive failures",
                    false,
                    EjectionSettings.of(CONSECUTIVE_FAILURES),
                    true,
                    false,
                    20),
            new DecisionSimulation.Variant(
                    "ejection by failure rate", false, EjectionSettings.of(FAILURE_RATE), true, false, 20),
            new DecisionSimulation.Variant(
                    "default, fixed concurrency", false, EjectionSettings.defaults(), true, false, 20),
            new DecisionSimulation.Variant(
                    "default, no request classes", false, EjectionSettings.defaults(), true, true, -1),
            new DecisionSimulation.Variant(
                    "default, half reserved", false, EjectionSettings.defaults(), true, true, 50),
            DEFAULT);
    private static final DecisionSimulation.Fault NONE = new DecisionSimulation.Fault(0, 1, 0, 99, 99);
    private static final DecisionSimulation.Scenario SLOWED = new DecisionSimulation.Scenario(
            "third slowed tenfold", 0.5, 0.5, 0, new DecisionSimulation.Fault(2, 10, 0, 99, 99), 0);
    private static final DecisionSimulation.Scenario FAILING = new DecisionSimulation.Scenario(
            "third failing", 0.5, 0.5, 0, new DecisionSimulation.Fault(2, 1, 1, 99, 99), 0);
    private static final List<DecisionSimulation.Scenario> SCENARIOS = List.of(
            new DecisionSimulation.Scenario("normal load", 0.5, 0.5, 0, NONE, 0),
            SLOWED,
            FAILING,
            new DecisionSimulation.Scenario(
                    "third failing half its requests", 0.5, 0.5, 0, new DecisionSimulation.Fault(2, 1, 0.5, 99, 99), 0),
            new DecisionSimulation.Scenario(
                    "two thirds failing", 0.25, 0.25, 0, new DecisionSimulation.Fault(4, 1, 1, 99, 99), 0),
            new DecisionSimulation.Scenario(
                    "third shedding above half its slots",
                    0.7,
                    0.7,
                    0,
                    new DecisionSimulation.Fault(2, 1, 0, 5, 99),
                    0),
            new DecisionSimulation.Scenario(
                    "third thrashing above half its slots",
                    0.7,
                    0.7,
                    0,
                    new DecisionSimulation.Fault(2, 1, 0, 99, 5),
                    0),
            new DecisionSimulation.Scenario(
                    "all thrashing above half their slots",
                    0.5,
                    0.5,
                    0,
                    new DecisionSimulation.Fault(6, 1, 0, 99, 5),
                    0),
            new DecisionSimulation.Scenario(
                    "all slowed threefold", 0.28, 0.28, 0, new DecisionSimulation.Fault(6, 3, 0, 99, 99), 0),
            new DecisionSimulation.Scenario("downloads for 0.9 of all slots", 0.4, 0.4, 0.045, NONE, 0),
            new DecisionSimulation.Scenario("peak load of 1.5", 0.5, 1.5, 0, NONE, 0),
            new DecisionSimulation.Scenario("peak load of 3", 0.5, 3, 0, NONE, 0),
            new DecisionSimulation.Scenario("peak load of 1.5, callers retry", 0.5, 1.5, 0, NONE, 9),
            new DecisionSimulation.Scenario("peak load of 3, callers retry", 0.5, 3, 0, NONE, 9));

    @Test
    void shouldWriteTheResultsWhenEachVariantIsSimulated() throws IOException {
        List<String> lines = new ArrayList<>();
        for (DecisionSimulation.Scenario scenario : SCENARIOS) {
            for (DecisionSimulation.Variant variant : VARIANTS) {
                if (isRelevant(variant, scenario)) {
                    lines.add(line(scenario, variant, simulate(variant, scenario)));
                }
            }
        }
        Path file = Path.of("target", "trials", "traffic.txt");
        Files.createDirectories(file.getParent());
        Files.write(file, lines);
        assertThat(lines.size()).isAtLeast(SCENARIOS.size() * 2);
    }

    @Test
    void shouldHalveTheTailLatencyOfRandomChoiceWhenAThirdIsSlow() {
        double standard = median(simulate(DEFAULT, SLOWED), simulation -> percentile(simulation, 0.99));
        double baseline = median(simulate(BASELINE, SLOWED), simulation -> percentile(simulation, 0.99));
        assertThat(standard).isLessThan(baseline / 2);
    }

    @Test
    void shouldHalveTheFailuresOfRandomChoiceWhenAThirdFails() {
        double standard = median(simulate(DEFAULT, FAILING), simulation -> simulation.failed);
        double baseline = median(simulate(BASELINE, FAILING), simulation -> simulation.failed);
        assertThat(standard).isLessThan(baseline / 2);
    }

    private static boolean isRelevant(DecisionSimulation.Variant variant, DecisionSimulation.Scenario scenario) {
        if (variant.equals(BASELINE) || variant.equals(DEFAULT)) {
            return true;
        }
        boolean isAboutClasses =
                variant.name().contains("classes") || variant.name().contains("reserved");
        boolean isAboutShedding = variant.name().contains("fixed");
        boolean isAboutFailures = variant.name().startsWith("ejection by");
        DecisionSimulation.Fault fault = scenario.fault();
        boolean isShedding = fault.shedAbove() < Fixtures.SLOTS;
        if (isAboutClasses) {
            return scenario.downloads() > 0;
        }
        if (isAboutShedding) {
            return isShedding;
        }
        return isAboutFailures ? fault.errors() > 0 : fault.slowFactor() > 3 || fault.errors() == 1;
    }

    private static List<DecisionSimulation> simulate(
            DecisionSimulation.Variant variant, DecisionSimulation.Scenario scenario) {
        return LongStream.range(0, SEEDS)
                .mapToObj(seed -> new DecisionSimulation(variant, scenario, seed).run())
                .toList();
    }

    private static String line(
            DecisionSimulation.Scenario scenario,
            DecisionSimulation.Variant variant,
            List<DecisionSimulation> simulations) {
        return String.format(
                Locale.ROOT,
                "%s\t%s\tanswered %.2f%%\trefused %.2f%%\tfailed %.2f%%\t"
                        + "p50 %.0f\tp99 %.0f\tp99.9 %.0f\tattempts %.3f\tcaller retries %.3f",
                scenario.name(),
                variant.name(),
                median(simulations, simulation -> 100.0 * simulation.latencies.size() / simulation.requests),
                median(simulations, simulation -> 100.0 * simulation.refused / simulation.requests),
                median(simulations, simulation -> 100.0 * simulation.failed / simulation.requests),
                median(simulations, simulation -> percentile(simulation, 0.5)),
                median(simulations, simulation -> percentile(simulation, 0.99)),
                median(simulations, simulation -> percentile(simulation, 0.999)),
                median(simulations, simulation -> (double) simulation.attempts / simulation.requests),
                median(simulations, simulation -> (double) simulation.callerRetries / simulation.requests));
    }

    private static double median(List<DecisionSimulation> simulations, ToDoubleFunction<DecisionSimulation> metric) {
        return simulations.stream().mapToDouble(metric).sorted().toArray()[SEEDS / 2];
    }

    private static double percentile(DecisionSimulation simulation, double fraction) {
        double[] sorted = simulation.latencies.stream()
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        return sorted[(int) Math.min(sorted.length - 1, Math.ceil(sorted.length * fraction))];
    }
}
