package org.oleanderturn.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.proxy.RequestScenario.Fault;
import org.oleanderturn.proxy.RequestScenario.FaultCase;
import org.oleanderturn.proxy.RequestScenario.Hop;
import org.oleanderturn.proxy.RequestScenario.Protocol;

/** Injects every fault at every step of a request, on both hops, over real sockets, and writes a report. */
@Timeout(120)
class RequestFaultMatrixTest {
    private static final Path REPORT = Path.of("target", "fault-matrix", "proxy.txt");
    private static final List<String> REPORT_LINES = Collections.synchronizedList(new ArrayList<>());

    static Stream<FaultCase> faultCases() {
        List<FaultCase> faultCases = new ArrayList<>();
        for (Protocol protocol : Protocol.values()) {
            for (Hop hop : Hop.values()) {
                for (FaultRelay.Step step : FaultRelay.Step.values()) {
                    for (Fault fault : Fault.values()) {
                        faultCases.add(new FaultCase(protocol, hop, step, fault));
                    }
                }
            }
        }
        return faultCases.stream().filter(FaultCase::isApplicable);
    }

    @ParameterizedTest
    @MethodSource("faultCases")
    void shouldKeepEveryInvariantWhenAFaultOccursAtAStep(FaultCase faultCase) throws Exception {
        RequestScenario scenario = new RequestScenario(faultCase);
        try {
            scenario.run();
        } finally {
            REPORT_LINES.addAll(scenario.report());
        }
    }

    @AfterAll
    static void writeReport() throws IOException {
        Files.createDirectories(REPORT.getParent());
        Files.write(REPORT, REPORT_LINES);
    }
}
