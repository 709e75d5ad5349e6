package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Compares the results that callers received with the bookings that targets ran, prints each guarantee and returns exit
 * code 1 when one is broken.
 *
 * <p>Used by one thread.
 */
@Command(
        name = "load-check",
        mixinStandardHelpOptions = true,
        description = "Compares load reports with what targets ran.")
public final class LoadCheckCommand implements Callable<Integer> {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    /** Enough for the keys of a million bookings. */
    private static final int RESPONSE_LIMIT_BYTES = 64 * 1_024 * 1_024;

    @Option(names = "--report", required = true, description = "A report written by the load command; repeatable.")
    private List<Path> reports;

    @Option(names = "--target", description = "Address of a target; repeatable.")
    private List<String> targets = List.of();

    @Option(names = "--killed-entry", description = "Caller address of a node that was killed; repeatable.")
    private List<String> killedEntries = List.of();

    @Override
    public Integer call() throws IOException {
        Map<String, Integer> runs = new TreeMap<>();
        for (String target : targets) {
            TargetCounts counts = decode(fetch(target), TargetCounts.class);
            counts.bookings().forEach((key, count) -> runs.merge(key, count, Integer::sum));
        }
        List<LoadGuarantee> guarantees = new ArrayList<>();
        for (Path report : reports) {
            LoadReport load = decode(Files.readAllBytes(report), LoadReport.class);
            print(load);
            guarantees.addAll(LoadGuarantee.check(load, runs, killedEntries));
        }
        guarantees.forEach(guarantee -> System.out.println(guarantee.describe()));
        return guarantees.stream().allMatch(LoadGuarantee::isKept) ? 0 : 1;
    }

    /** The response body of {@code GET /admin/counts} on a target stand-in. */
    record TargetCounts(
            String target, long served, long shed, long cancelled, long running, Map<String, Integer> bookings) {}

    /** Returns the body of a target's response; fails unless the response is complete. */
    static byte[] fetch(String target) throws IOException {
        OutboundRequest request = new OutboundRequest(
                "GET",
                "/admin/counts",
                List.of(),
                new byte[0],
                SendPolicy.NEW_CONNECTION,
                CONNECT_TIMEOUT,
                RESPONSE_TIMEOUT);
        try (UpstreamClient client = UpstreamClient.of(1)) {
            Either<UpstreamFailure, BufferedResponse> response = client.exchange(
                    Address.parse(target),
                    request,
                    ResponseMatcher.framed(),
                    RESPONSE_LIMIT_BYTES,
                    Cancellation.create());
            if (response.isLeft()) {
                throw new IOException("no counts from " + target + ": " + response.getLeft());
            }
            return response.get().body();
        }
    }

    private static <T> T decode(byte[] bytes, Class<T> type) throws IOException {
        Either<DecodeFailure, T> decoded = Codec.json().decode(bytes, type);
        if (decoded.isLeft()) {
            throw new IOException("malformed " + type.getSimpleName() + ": " + decoded.getLeft());
        }
        return decoded.get();
    }

    private static void print(LoadReport load) {
        System.out.printf(
                "requests: %d sent, %d answered, %d refused without running, %d unknown, %d lost, %d unexpected; %d retries%n",
                load.sent(),
                load.answered(),
                load.refusedNotRun(),
                load.unknown(),
                load.lost(),
                load.unexpected(),
                load.resent());
        load.latencies()
                .forEach((kind, latency) -> System.out.printf(
                        "  %-8s %5d answered, median %.1f ms, 99th percentile %.1f ms%n",
                        kind, latency.count(), latency.median() / 1e3, latency.percentile99() / 1e3));
        load.problems().forEach(problem -> System.out.println("  " + problem));
    }
}
