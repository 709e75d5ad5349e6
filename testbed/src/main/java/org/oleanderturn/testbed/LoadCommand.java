package org.oleanderturn.testbed;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.Callable;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Sends a load to nodes on schedule and writes what became of it; an interrupt ends the schedule early.
 *
 * <p>Used by one thread.
 */
@Command(name = "load", mixinStandardHelpOptions = true, description = "Sends lookups, bookings and downloads.")
public final class LoadCommand implements Callable<Integer> {
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    @Option(names = "--entry", required = true, description = "Caller address of a node; repeat it.")
    private List<String> entries;

    @Option(names = "--rate", defaultValue = "50", description = "Requests a second.")
    private int requestsPerSecond;

    @Option(names = "--seconds", defaultValue = "10", description = "Length of the schedule.")
    private long seconds;

    @Option(names = "--lookup-path", defaultValue = "/availability/splitters", description = "Path of lookups.")
    private String lookupPath;

    @Option(names = "--booking-path", defaultValue = "/bookings", description = "Path of bookings.")
    private String bookingPath;

    @Option(names = "--download-path", defaultValue = "/docs/download/manual", description = "Path of downloads.")
    private String downloadPath;

    @Option(names = "--booking-percent", defaultValue = "15", description = "Bookings in a hundred requests.")
    private int bookingPercent;

    @Option(names = "--download-percent", defaultValue = "5", description = "Downloads in a hundred requests.")
    private int downloadPercent;

    @Option(names = "--patience", defaultValue = "8000", description = "How long to send again, in milliseconds.")
    private long patienceMilliseconds;

    @Option(names = "--key-prefix", defaultValue = "load", description = "Begin of each idempotency key.")
    private String keyPrefix;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the choice of kinds and entries.")
    private long seed;

    @Option(names = "--report", required = true, description = "The file for the report.")
    private Path report;

    @Override
    public Integer call() throws IOException {
        LoadRunner runner = LoadRunner.of(plan());
        Thread worker = Thread.currentThread();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndWait(runner, worker)));
        String text = Codec.json().encodeIndented(runner.run());
        Path part = report.resolveSibling(report.getFileName() + ".part");
        Files.write(part, text.getBytes(StandardCharsets.UTF_8));
        Files.move(part, report, StandardCopyOption.REPLACE_EXISTING);
        // An orderly exit would wait for the shutdown hook, which waits for this thread.
        Runtime.getRuntime().halt(CommandLine.ExitCode.OK);
        return CommandLine.ExitCode.OK;
    }

    private LoadPlan plan() {
        return new LoadPlan(
                entries.stream().map(Address::parse).toList(),
                requestsPerSecond,
                seconds * MILLISECONDS_PER_SECOND,
                lookupPath,
                bookingPath,
                downloadPath,
                bookingPercent,
                downloadPercent,
                patienceMilliseconds,
                keyPrefix,
                seed);
    }

    private static void stopAndWait(LoadRunner runner, Thread worker) {
        runner.stop();
        try {
            worker.join();
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
