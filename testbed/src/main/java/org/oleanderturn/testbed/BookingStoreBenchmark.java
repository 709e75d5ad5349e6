package org.oleanderturn.testbed;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.oleanderturn.claims.BookingClaims;
import org.oleanderturn.claims.ClaimDecision;
import org.oleanderturn.claims.ClaimSettings;
import org.oleanderturn.claims.IdempotencyKey;
import org.oleanderturn.claims.RecordedAnswer;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.store.HttpStore;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreSettings;

/**
 * Store writes and latency that claims add to a booking: one value per key compared with journals with group commit.
 *
 * <p>Used by one thread.
 */
final class BookingStoreBenchmark implements BenchExperiment {
    private static final int NODES = 4;
    private static final int PARTITIONS = 4;
    private static final int ANSWER_BYTES = 300;
    private static final int REPEATS = 3;
    private static final long RUN_MILLISECONDS = 4_000;
    private static final long WARMUP_MILLISECONDS = 1_500;
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;
    private static final Duration STORE_LATENCY = Duration.ofMillis(3);
    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final ServiceName SERVICE = ServiceName.of("bookings");
    private static final List<Integer> RATES = List.of(20, 100, 400);

    /** A way to store claims; the name is part of each row's measure. */
    private record ClaimStorage(String name, Function<Store, BookingClaims> factory) {}

    /** The results of one load and the counters of its store. */
    private record Run(TrafficSamples samples, double writes, double writtenBytes, double calls) {}

    @Override
    public String name() {
        return "bookings";
    }

    @Override
    public String description() {
        return "store writes and latency that claims add to a booking, one value per key against journals";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        ClaimStorage perKey = new ClaimStorage("a value a key", BookingStoreBenchmark::perKeyClaims);
        ClaimStorage journals = new ClaimStorage(PARTITIONS + " journals", BookingStoreBenchmark::journalClaims);
        runOnce(perKey, RATES.getLast(), WARMUP_MILLISECONDS);
        runOnce(journals, RATES.getLast(), WARMUP_MILLISECONDS);
        for (int rate : RATES) {
            List<Run> perKeyRuns = repeat(perKey, rate);
            rows.addAll(rows(perKey, rate, perKeyRuns, perKeyRuns));
            rows.addAll(rows(journals, rate, repeat(journals, rate), perKeyRuns));
        }
        return rows;
    }

    private static BookingClaims perKeyClaims(Store store) {
        return BookingClaims.of(store, settings(), System::currentTimeMillis, new SecureRandom());
    }

    private static BookingClaims journalClaims(Store store) {
        return BookingClaims.withJournals(store, PARTITIONS, settings(), System::currentTimeMillis, new SecureRandom());
    }

    private static ClaimSettings settings() {
        return ClaimSettings.defaults().withRetention(RETENTION);
    }

    // -- runs

    private static List<Run> repeat(ClaimStorage storage, int rate) {
        List<Run> runs = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            runs.add(runOnce(storage, rate, RUN_MILLISECONDS));
        }
        return runs;
    }

    private static Run runOnce(ClaimStorage storage, int rate, long milliseconds) {
        List<HttpStore> stores = new ArrayList<>();
        try (StoreStandIn standIn =
                StoreStandIn.start(0, StoreStandInSettings.defaults().withAnswerDelay(STORE_LATENCY))) {
            List<BookingClaims> nodes = new ArrayList<>();
            for (int node = 0; node < NODES; node++) {
                stores.add(HttpStore.of(StoreSettings.of(standIn.address())));
                nodes.add(storage.factory().apply(stores.getLast()));
            }
            TrafficSamples samples = sendBookings(nodes, rate, milliseconds);
            StoreStandInCounts counts = standIn.counts();
            return new Run(samples, counts.writes(), counts.writtenBytes(), counts.total());
        } finally {
            stores.forEach(HttpStore::close);
        }
    }

    private static TrafficSamples sendBookings(List<BookingClaims> nodes, int rate, long milliseconds) {
        ConcurrentLinkedQueue<TrafficSample> samples = new ConcurrentLinkedQueue<>();
        RandomGenerator random = new Random(rate);
        int bookings = (int) (rate * milliseconds / Duration.ofSeconds(1).toMillis());
        try (ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor()) {
            long start = System.nanoTime();
            for (int number = 0; number < bookings; number++) {
                long due = number * NANOSECONDS_PER_SECOND / rate;
                parkUntil(start + due);
                BookingClaims node = nodes.get(random.nextInt(nodes.size()));
                String key = "booking-" + number;
                senders.execute(() -> {
                    TrafficSample.Outcome outcome = bookOne(node, key);
                    samples.add(new TrafficSample(due, System.nanoTime() - start - due, outcome));
                });
            }
        }
        return new TrafficSamples(List.copyOf(samples));
    }

    private static void parkUntil(long nanoTime) {
        long remaining = nanoTime - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = nanoTime - System.nanoTime();
        }
    }

    /** Claims, starts and completes a booking without calling a target, so that only the cost of the claim is measured. */
    private static TrafficSample.Outcome bookOne(BookingClaims node, String key) {
        Digest fingerprint = Digest.compute(key.getBytes(StandardCharsets.UTF_8));
        ClaimDecision decision = node.claim(new IdempotencyKey(SERVICE, key), fingerprint);
        if (!(decision instanceof ClaimDecision.Granted granted) || !node.start(granted.handle())) {
            return TrafficSample.Outcome.REFUSED;
        }
        node.complete(granted.handle(), RecordedAnswer.of(201, List.of(), new byte[ANSWER_BYTES]));
        return TrafficSample.Outcome.ANSWERED;
    }

    // -- rows

    private static List<BenchRow> rows(ClaimStorage storage, int rate, List<Run> runs, List<Run> perKeyRuns) {
        String at = ", " + storage.name() + ", " + rate + " bookings/s";
        return List.of(
                row(
                        "added time, 1 in 2" + at,
                        "ms",
                        run -> answered(run).latencyPercentile(MEDIAN_PERCENTILE),
                        runs,
                        perKeyRuns),
                row(
                        "added time, 99 in 100" + at,
                        "ms",
                        run -> answered(run).latencyPercentile(TAIL_PERCENTILE),
                        runs,
                        perKeyRuns),
                row("store writes a booking" + at, "writes", run -> run.writes() / count(run), runs, perKeyRuns),
                row("store calls a booking" + at, "calls", run -> run.calls() / count(run), runs, perKeyRuns),
                row("bytes written a booking" + at, "bytes", run -> run.writtenBytes() / count(run), runs, perKeyRuns),
                row(
                        "refused" + at,
                        "bookings",
                        run -> count(run) - answered(run).count(),
                        runs,
                        perKeyRuns));
    }

    private static TrafficSamples answered(Run run) {
        return run.samples().filter(TrafficSample.Outcome.ANSWERED);
    }

    private static double count(Run run) {
        return run.samples().count();
    }

    private static BenchRow row(
            String measure, String unit, ToDoubleFunction<Run> figure, List<Run> runs, List<Run> perKeyRuns) {
        Objects.requireNonNull(figure, "figure is null");
        return BenchRow.of(measure, unit, samples(figure, runs))
                .withBaseline(samples(figure, perKeyRuns).median());
    }

    private static BenchSamples samples(ToDoubleFunction<Run> figure, List<Run> runs) {
        return BenchSamples.of(runs.stream().mapToDouble(figure).boxed().toList());
    }
}
