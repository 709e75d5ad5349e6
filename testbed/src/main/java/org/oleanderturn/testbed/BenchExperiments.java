package org.oleanderturn.testbed;

import java.util.List;

/**
 * The registry of all experiments that the bench command can run.
 *
 * <p>Immutable and thread safe.
 */
final class BenchExperiments {
    private static final List<BenchExperiment> ALL = List.of(
            new BenchConvergence(),
            new BenchConvergenceFaults(),
            new BenchStoreCalls(),
            new BenchPaidLink(),
            new BenchControlCost(),
            new BenchVersionCost(),
            new BenchVersionMessages(),
            new TwoHopBenchmark(),
            new TrafficOverloadBenchmark(),
            new TrafficDownloadBenchmark(),
            TrafficSlowThirdBenchmark.slow(),
            TrafficSlowThirdBenchmark.failing(),
            new BookingStoreBenchmark(),
            new DecisionBenchmark());

    private BenchExperiments() {}

    static List<BenchExperiment> all() {
        return ALL;
    }
}
