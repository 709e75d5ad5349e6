package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.DecodeFailure;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Compares what callers were told with what targets ran, prints each promise and fails when one is broken.
 *
 * <p>Used by one thread.
 */
@Command(
        name = "load-check",
        mixinStandardHelpOptions = true,
        description = "Compares reports of loads with what targets ran.")
public final class LoadCheckCommand implements Callable<Integer> {

    @Option(names = "--report", required = true, description = "A report of a load; repeat it.")
    private List<Path> reports;

    @Option(names = "--target", description = "Address of a target; repeat it.")
    private List<String> targets = List.of();

    @Option(names = "--killed-entry", description = "Caller address of a node that was killed; repeat it.")
    private List<String> killedEntries = List.of();

    @Override
    public Integer call() throws IOException, InterruptedException {
        Map<String, Integer> runs = new TreeMap<>();
        for (String target : targets) {
            TargetRuns counts = read(fetch(target), TargetRuns.class);
            counts.bookings().forEach((key, count) -> runs.merge(key, count, Integer::sum));
        }
        List<LoadPromise> promises = new ArrayList<>();
        for (Path report : reports) {
            LoadReport load = read(Files.readAllBytes(report), LoadReport.class);
            print(load);
            promises.addAll(LoadPromise.check(load, runs, killedEntries));
        }
        promises.forEach(promise -> System.out.println(promise.describe()));
        return promises.stream().allMatch(LoadPromise::isKept) ? 0 : 1;
    }

    /** The answer of a target to {@code GET /admin/counts}. */
    record TargetRuns(
            String target, long served, long shed, long cancelled, long running, Map<String, Integer> bookings) {}

    private static byte[] fetch(String target) throws IOException, InterruptedException {
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + target + "/admin/counts"))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
        }
    }

    private static <T> T read(byte[] bytes, Class<T> type) throws IOException {
        Either<DecodeFailure, T> decoded = Codec.json().decode(bytes, type);
        if (decoded.isLeft()) {
            throw new IOException("malformed " + type.getSimpleName() + ": " + decoded.getLeft());
        }
        return decoded.get();
    }

    private static void print(LoadReport load) {
        System.out.printf(
                "requests: %d sent, %d answered, %d refused as not run, %d unknown, %d lost, %d unexpected; %d resent%n",
                load.sent(),
                load.answered(),
                load.refusedNotRun(),
                load.unknown(),
                load.lost(),
                load.unexpected(),
                load.resent());
        load.latencies()
                .forEach((kind, latency) -> System.out.printf(
                        "  %-8s %5d answered, median %.1f ms, 99 in 100 within %.1f ms%n",
                        kind, latency.count(), latency.median() / 1e3, latency.percentile99() / 1e3));
        load.problems().forEach(problem -> System.out.println("  " + problem));
    }
}
