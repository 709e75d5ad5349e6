package org.oleanderturn.traffic;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedSet;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.stream.Stream;

/** Writes one line for each cell of the fault matrices to target/fault-matrix/traffic.txt. */
final class FaultMatrixReport {
    private static final Path FILE = Path.of("target", "fault-matrix", "traffic.txt");
    private static final SortedSet<String> CELLS = new ConcurrentSkipListSet<>();

    private FaultMatrixReport() {}

    /** Runs a cell, notes its verdict and passes its failure on. */
    static void run(String protocol, String step, String fault, String invariant, Runnable cell) {
        String name = String.join("\t", protocol, step, fault, invariant);
        try {
            cell.run();
        } catch (RuntimeException | AssertionError failure) {
            CELLS.add(name + "\tred");
            throw failure;
        }
        CELLS.add(name + "\tpassed");
    }

    static void write() throws IOException {
        Files.createDirectories(FILE.getParent());
        List<String> lines = Stream.concat(Stream.of("protocol\tstep\tfault\tinvariant\tverdict"), CELLS.stream())
                .toList();
        Files.write(FILE, lines);
    }
}
