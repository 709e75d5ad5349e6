package org.oleanderturn.claims;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.store.FakeStore;

final class ClaimFaultMatrixTest {
    private static final long SEED = 42;
    private static final int STEPS = 5;
    private static final String INVARIANTS = "ran at most once; grant durable; replay complete; not run stays not run";
    private static final List<String> REPORT = new ArrayList<>();

    static Stream<Arguments> cells() {
        List<Arguments> cells = new ArrayList<>();
        for (ClaimScenario.Strategy strategy : ClaimScenario.Strategy.values()) {
            for (ClaimScenario.Protocol protocol : ClaimScenario.Protocol.values()) {
                for (int step = 0; step < STEPS; step++) {
                    for (FakeStore.Fault fault : FakeStore.Fault.values()) {
                        cells.add(Arguments.of(strategy, protocol, step, fault));
                    }
                }
            }
        }
        return cells.stream();
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldRunAtMostOnceWhenStoreCallFails(
            ClaimScenario.Strategy strategy, ClaimScenario.Protocol protocol, int step, FakeStore.Fault fault) {
        String verdict = "red, seed " + SEED;
        try {
            verdict = runCell(strategy, protocol, step, fault) ? "passed" : "not covered";
        } finally {
            REPORT.add(String.join("\t", protocol + " " + strategy, "call " + step, fault.name(), INVARIANTS, verdict));
        }
    }

    @AfterAll
    static void writeReport() throws IOException {
        Path directory = Files.createDirectories(Path.of("target", "fault-matrix"));
        Files.write(directory.resolve("claims.txt"), REPORT);
    }

    private static boolean runCell(
            ClaimScenario.Strategy strategy, ClaimScenario.Protocol protocol, int step, FakeStore.Fault fault) {
        boolean isReached = false;
        for (int repeats = 1; repeats <= 4; repeats++) {
            for (ClaimScenario.SecondCaller secondCaller : ClaimScenario.SecondCaller.values()) {
                for (ClaimScenario.Crash crash : ClaimScenario.Crash.values()) {
                    for (ClaimScenario.LateEffect lateEffect : ClaimScenario.LateEffect.values()) {
                        var scenario = new ClaimScenario.Case(
                                strategy, protocol, step, fault, repeats, secondCaller, crash, lateEffect);
                        isReached |= new ClaimScenario(scenario, SEED).run();
                    }
                }
            }
        }
        return isReached;
    }
}
