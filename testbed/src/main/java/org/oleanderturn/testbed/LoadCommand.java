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
 * Sends requests to nodes on a fixed schedule and writes a report of their results. SIGINT and SIGTERM end the schedule
 * early; the report is written before the process exits.
 *
 * <p>Used by one thread.
 */
@Command(name = "load", mixinStandardHelpOptions = true, description = "Sends lookups, bookings and downloads.")
public final class LoadCommand implements Callable<Integer> {
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    @Option(names = "--entry", required = true, description = "Caller address of a node; repeatable.")
    private List<String> entries;

    @Option(names = "--rate", defaultValue = "50", description = "Requests per second.")
    private int requestsPerSecond;

    @Option(names = "--seconds", defaultValue = "10", description = "Duration of the schedule, in seconds.")
    private long seconds;

    @Option(names = "--lookup-path", defaultValue = "/availability/splitters", description = "Path of lookups.")
    private String lookupPath;

    @Option(names = "--booking-path", defaultValue = "/bookings", description = "Path of bookings.")
    private String bookingPath;

    @Option(names = "--download-path", defaultValue = "/docs/download/manual", description = "Path of downloads.")
    private String downloadPath;

    @Option(names = "--booking-percent", defaultValue = "15", description = "Percentage of bookings.")
    private int bookingPercent;

    @Option(names = "--download-percent", defaultValue = "5", description = "Percentage of downloads.")
    private int downloadPercent;

    @Option(
            names = "--patience",
            defaultValue = "8000",
            description = "How long after its scheduled time a request is retried, in milliseconds.")
    private long patienceMilliseconds;

    @Option(names = "--key-prefix", defaultValue = "load", description = "Prefix of each idempotency key.")
    private String keyPrefix;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of the random choice of request kinds and entries.")
    private long seed;

    @Option(names = "--report", required = true, description = "The file that the report is written to, as JSON.")
    private Path report;

    @Override
    public Integer call() throws IOException {
        LoadRunner runner = LoadRunner.of(plan());
        Thread worker = Thread.currentThread();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndJoin(runner, worker)));
        String text = Codec.json().encodeIndented(runner.run());
        Path part = report.resolveSibling(report.getFileName() + ".part");
        Files.write(part, text.getBytes(StandardCharsets.UTF_8));
        Files.move(part, report, StandardCopyOption.REPLACE_EXISTING);
        // System.exit would deadlock: it waits for the shutdown hook, which waits for this thread.
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

    private static void stopAndJoin(LoadRunner runner, Thread worker) {
        runner.stop();
        try {
            worker.join();
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
