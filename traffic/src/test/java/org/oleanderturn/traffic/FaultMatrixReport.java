package org.oleanderturn.traffic;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedSet;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.stream.Stream;

/** Writes one line for each case of the fault matrices to target/fault-matrix/traffic.txt. */
final class FaultMatrixReport {
    private static final Path FILE = Path.of("target", "fault-matrix", "traffic.txt");
    private static final SortedSet<String> LINES = new ConcurrentSkipListSet<>();

    private FaultMatrixReport() {}

    /** Runs a case, records whether it passed and rethrows its failure. */
    static void run(String protocol, String step, String fault, String invariant, Runnable testCase) {
        String columns = String.join("\t", protocol, step, fault, invariant);
        try {
            testCase.run();
        } catch (RuntimeException | AssertionError failure) {
            LINES.add(columns + "\tred");
            throw failure;
        }
        LINES.add(columns + "\tpassed");
    }

    static void write() throws IOException {
        Files.createDirectories(FILE.getParent());
        List<String> lines = Stream.concat(Stream.of("protocol\tstep\tfault\tinvariant\tverdict"), LINES.stream())
                .toList();
        Files.write(FILE, lines);
    }
}
