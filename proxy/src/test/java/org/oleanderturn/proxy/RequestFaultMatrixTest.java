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
import org.oleanderturn.proxy.RequestScenario.Cell;
import org.oleanderturn.proxy.RequestScenario.Fault;
import org.oleanderturn.proxy.RequestScenario.Hop;
import org.oleanderturn.proxy.RequestScenario.Protocol;

/** Every fault at every step of a request, on both hops, over real sockets. */
@Timeout(120)
class RequestFaultMatrixTest {
    private static final Path REPORT = Path.of("target", "fault-matrix", "proxy.txt");
    private static final List<String> LINES = Collections.synchronizedList(new ArrayList<>());

    static Stream<Cell> cells() {
        List<Cell> cells = new ArrayList<>();
        for (Protocol protocol : Protocol.values()) {
            for (Hop hop : Hop.values()) {
                for (FaultRelay.Step step : FaultRelay.Step.values()) {
                    for (Fault fault : Fault.values()) {
                        cells.add(new Cell(protocol, hop, step, fault));
                    }
                }
            }
        }
        return cells.stream().filter(Cell::isMeaningful);
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldKeepEveryPromiseWhenAFaultBefallsAStep(Cell cell) throws Exception {
        RequestScenario scenario = new RequestScenario(cell);
        try {
            scenario.run();
        } finally {
            LINES.addAll(scenario.report());
        }
    }

    @AfterAll
    static void writeReport() throws IOException {
        Files.createDirectories(REPORT.getParent());
        Files.write(REPORT, LINES);
    }
}
