package org.oleanderturn.distribution;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.atomic.AtomicBoolean;

/** Writes the fault matrix under {@code target}, one cell per line: protocol, step, fault, invariant and verdict. */
final class FaultMatrix {
    private static final Path REPORT = Path.of("target", "fault-matrix", "distribution.txt");
    private static final AtomicBoolean IS_STARTED = new AtomicBoolean();

    private FaultMatrix() {}

    /** Runs the check of one cell and writes its verdict, {@code passed} or {@code red}. */
    static void cell(String protocol, String step, String fault, String invariant, Runnable check) {
        try {
            check.run();
        } catch (AssertionError | RuntimeException failure) {
            write(protocol, step, fault, invariant, "red");
            throw new AssertionError(String.join(" ", protocol, step, fault, invariant), failure);
        }
        write(protocol, step, fault, invariant, "passed");
    }

    private static synchronized void write(String... fields) {
        try {
            Files.createDirectories(REPORT.getParent());
            if (IS_STARTED.compareAndSet(false, true)) {
                Files.deleteIfExists(REPORT);
            }
            Files.writeString(
                    REPORT, String.join("\t", fields) + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }
}
