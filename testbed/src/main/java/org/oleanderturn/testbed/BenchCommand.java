package org.oleanderturn.testbed;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.oleanderturn.model.Codec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs experiments, prints their result tables and writes JSON and HTML reports.
 *
 * <p>Exits with 0 when every bound was met, 1 when a bound was broken or an experiment failed, and 2 for an unknown
 * experiment name.
 * Used by one thread.
 */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Runs benchmark experiments.")
public final class BenchCommand implements Callable<Integer> {
    private static final Logger PROJECT_LOGGER = Logger.getLogger("org.oleanderturn");
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final int EXIT_BOUNDS_MET = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    @Option(names = "--list", description = "Lists the experiments.")
    private boolean isListing;

    @Option(names = "--output", defaultValue = "target/bench", description = "Directory for the JSON and HTML reports.")
    private Path output;

    @Parameters(paramLabel = "NAME", description = "Experiments to run; all of them if none is given.")
    private List<String> names = List.of();

    @Override
    public Integer call() throws IOException {
        PROJECT_LOGGER.setLevel(Level.SEVERE);
        if (isListing) {
            System.out.print(BenchTable.list(BenchExperiments.all()));
            return EXIT_BOUNDS_MET;
        }
        List<BenchExperiment> selected = new ArrayList<>();
        for (String name : names) {
            Optional<BenchExperiment> found = find(name);
            if (found.isEmpty()) {
                System.err.println("bench: unknown experiment " + name + "; --list shows the known ones");
                return EXIT_USAGE;
            }
            selected.add(found.get());
        }
        return runAll(names.isEmpty() ? BenchExperiments.all() : selected);
    }

    private static Optional<BenchExperiment> find(String name) {
        return BenchExperiments.all().stream()
                .filter(experiment -> experiment.name().equals(name))
                .findFirst();
    }

    private int runAll(List<BenchExperiment> experiments) throws IOException {
        int exitCode = EXIT_BOUNDS_MET;
        for (BenchExperiment experiment : experiments) {
            try {
                if (runAndWrite(experiment).isBroken()) {
                    exitCode = EXIT_FAILURE;
                }
            } catch (RuntimeException failure) {
                System.out.println(experiment.name() + ": FAILED, no results: " + failure);
                exitCode = EXIT_FAILURE;
            }
        }
        return exitCode;
    }

    private BenchReport runAndWrite(BenchExperiment experiment) throws IOException {
        String startedAt = Instant.now().toString();
        long start = System.nanoTime();
        List<BenchRow> rows = experiment.run();
        double seconds = (System.nanoTime() - start) / NANOSECONDS_PER_SECOND;
        BenchReport report = new BenchReport(experiment.name(), experiment.description(), startedAt, seconds, rows);
        System.out.print(BenchTable.write(report));
        Files.createDirectories(output);
        Files.write(output.resolve(experiment.name() + ".json"), Codec.json().encode(report));
        Files.writeString(output.resolve(experiment.name() + ".html"), BenchPage.write(report), StandardCharsets.UTF_8);
        return report;
    }
}
