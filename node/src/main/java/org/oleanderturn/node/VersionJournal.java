package org.oleanderturn.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.oleanderturn.distribution.AdoptionResult;
import org.oleanderturn.distribution.PeerFailure;
import org.oleanderturn.distribution.VersionEvent;
import org.oleanderturn.distribution.VersionListener;
import org.oleanderturn.distribution.VersionOrigin;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.NodeId;

/**
 * Writes a JSON line for each version that the node adopts, rejects, or could not transfer, and keeps the metrics of them.
 *
 * <p>Invariants: adoptions are written in the order of their versions; of each kind of failed or deferred transfer, at
 * most one line a second is written, with the number of those left out. Thread safe; never blocks.
 */
final class VersionJournal implements VersionListener {
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final long TRANSFER_LINE_INTERVAL_MILLISECONDS = 1_000;
    private static final double[] DELAY_BOUNDS_SECONDS = {0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 2.5, 3, 5, 10, 30};

    /** The kinds of lines whose rate is limited. */
    private enum TransferKind {
        FAILED_PUSH,
        FAILED_FETCH,
        DEFERRED_FETCH
    }

    private final NodeId node;
    private final LogWriter writer;
    private final Function<Address, String> peerNames;
    private final LongSupplier wallMilliseconds;
    private final LongSupplier milliseconds;
    private final VersionTracker tracker;
    private final Map<TransferKind, LineLimit> limits = new EnumMap<>(TransferKind.class);
    private final Counter adoptions;
    private final Counter rejections;
    private final Counter failedTransfers;
    private final Histogram adoptionDelay;

    /**
     * Creates the journal of a node and registers its metrics.
     *
     * @param peerNames returns the name of the node with the given control address
     * @param wallMilliseconds the time in milliseconds since the epoch, for the lines
     * @param milliseconds a clock that never goes back
     */
    VersionJournal(
            NodeId node,
            LogWriter writer,
            NodeMetrics metrics,
            Function<Address, String> peerNames,
            LongSupplier wallMilliseconds,
            LongSupplier milliseconds) {
        this.node = Objects.requireNonNull(node, "node is null");
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.peerNames = Objects.requireNonNull(peerNames, "peerNames is null");
        this.wallMilliseconds = Objects.requireNonNull(wallMilliseconds, "wallMilliseconds is null");
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
        this.tracker = new VersionTracker(milliseconds);
        for (TransferKind kind : TransferKind.values()) {
            limits.put(kind, new LineLimit());
        }
        this.adoptions = Counter.builder()
                .name("oleanderturn_configuration_adoptions_total")
                .help("Versions adopted, by where they came from and how.")
                .labelNames("origin", "form")
                .register(metrics.registry());
        this.rejections = Counter.builder()
                .name("oleanderturn_configuration_rejections_total")
                .help("Offered versions rejected, by reason.")
                .labelNames("reason")
                .register(metrics.registry());
        this.failedTransfers = Counter.builder()
                .name("oleanderturn_configuration_failed_transfers_total")
                .help("Transfers of versions that failed or were put off, by reason.")
                .labelNames("transfer", "reason")
                .register(metrics.registry());
        this.adoptionDelay = Histogram.builder()
                .name("oleanderturn_configuration_adoption_delay_seconds")
                .help("Seconds from the first news of a version, or of a newer one, to its adoption.")
                .classicOnly()
                .classicUpperBounds(DELAY_BOUNDS_SECONDS)
                .register(metrics.registry());
        registerGauges(metrics);
    }

    private void registerGauges(NodeMetrics metrics) {
        metrics.gauge(
                "oleanderturn_configuration_newest_version",
                "Newest version that the node has heard of.",
                () -> tracker.newest().number());
        metrics.gauge(
                "oleanderturn_configuration_behind_seconds",
                "Seconds for which the node has known of a newer version than it holds, 0 if it knows none.",
                () -> tracker.behindMilliseconds() / MILLISECONDS_PER_SECOND);
        metrics.gauge(
                "oleanderturn_configuration_store_read_age_seconds",
                "Seconds since the node last read the configuration in the platform's store, -1 before the first time.",
                () -> tracker.storeReadAgeMilliseconds().isPresent()
                        ? tracker.storeReadAgeMilliseconds().getAsLong() / MILLISECONDS_PER_SECOND
                        : -1);
    }

    /** Returns what the node knows of versions. */
    VersionTracker tracker() {
        return tracker;
    }

    // -- events

    @Override
    public void record(VersionEvent event) {
        switch (event) {
            case VersionEvent.Heard heard -> tracker.recordNews(heard.origin(), heard.version(), 0);
            case VersionEvent.StoreRead _ -> tracker.recordStoreRead();
            case VersionEvent.Offered offered -> record(offered);
            case VersionEvent.TransferFailed failed -> record(failed);
            case VersionEvent.FetchDeferred deferred -> record(deferred);
        }
    }

    private void record(VersionEvent.Offered offered) {
        switch (offered.result()) {
            case AdoptionResult.Adopted adopted -> recordAdoption(offered, adopted);
            case AdoptionResult.Rejected rejected -> recordRejection(offered, rejected);
            case AdoptionResult.OtherBase other ->
                tracker.recordNews(offered.origin(), other.offered(), offered.takenMilliseconds());
            case AdoptionResult.AlreadyHeld _, AdoptionResult.Older _ -> {
                // The node holds that version or a newer one already.
            }
        }
    }

    private void recordAdoption(VersionEvent.Offered offered, AdoptionResult.Adopted adopted) {
        tracker.recordNews(offered.origin(), adopted.to(), offered.takenMilliseconds());
        Optional<VersionTracker.News> first = tracker.recordHeld(adopted.to());
        adoptions
                .labelValues(nameOf(offered.origin()), lowerCase(offered.form()))
                .inc();
        Map<String, Object> fields = line("VersionAdopted");
        fields.put("configuration", adopted.to().number());
        fields.put("before", adopted.from().number());
        addOrigin(fields, offered);
        first.ifPresent(news -> {
            long delay = milliseconds.getAsLong() - news.milliseconds();
            adoptionDelay.observe(delay / MILLISECONDS_PER_SECOND);
            fields.put("heardMilliseconds", delay);
            fields.put("heardVersion", news.version().number());
            fields.put("heardFrom", describe(news.origin()));
        });
        fields.put("takenMilliseconds", offered.takenMilliseconds());
        fields.put("newest", tracker.newest().number());
        write(fields);
    }

    private void recordRejection(VersionEvent.Offered offered, AdoptionResult.Rejected rejected) {
        tracker.recordNews(offered.origin(), rejected.offered(), offered.takenMilliseconds());
        String reason = rejected.rejection().getClass().getSimpleName();
        rejections.labelValues(reason).inc();
        Map<String, Object> fields = line("VersionRejected");
        fields.put("configuration", rejected.offered().number());
        addOrigin(fields, offered);
        fields.put("reason", reason);
        fields.put("detail", rejected.rejection().toString());
        write(fields);
    }

    private void record(VersionEvent.TransferFailed failed) {
        String reason = failed.failure().getClass().getSimpleName();
        failedTransfers.labelValues(lowerCase(failed.transfer()), reason).inc();
        TransferKind kind = switch (failed.transfer()) {
            case PUSH -> TransferKind.FAILED_PUSH;
            case FETCH -> TransferKind.FAILED_FETCH;
        };
        Map<String, Object> fields = line("TransferFailed");
        fields.put("transfer", lowerCase(failed.transfer()));
        fields.put("peer", peerNames.apply(failed.peer()));
        fields.put("configuration", failed.version().number());
        fields.put("reason", reason);
        detail(failed.failure()).ifPresent(detail -> fields.put("detail", detail));
        fields.put("takenMilliseconds", failed.takenMilliseconds());
        writeLimited(kind, fields);
    }

    private void record(VersionEvent.FetchDeferred deferred) {
        failedTransfers.labelValues("fetch", "Busy").inc();
        Map<String, Object> fields = line("FetchDeferred");
        fields.put("peer", peerNames.apply(deferred.peer()));
        fields.put("configuration", deferred.version().number());
        fields.put("retryAfterMilliseconds", deferred.retryAfterMilliseconds());
        writeLimited(TransferKind.DEFERRED_FETCH, fields);
    }

    // -- lines

    private Map<String, Object> line(String event) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", wallMilliseconds.getAsLong());
        fields.put("node", node.value());
        fields.put("event", event);
        return fields;
    }

    private void addOrigin(Map<String, Object> fields, VersionEvent.Offered offered) {
        fields.put("origin", nameOf(offered.origin()));
        peer(offered.origin()).ifPresent(peer -> fields.put("peer", peer));
        fields.put("form", lowerCase(offered.form()));
    }

    private void write(Map<String, Object> fields) {
        writer.offer(Codec.json().encodeText(fields));
    }

    private void writeLimited(TransferKind kind, Map<String, Object> fields) {
        limits.get(kind).acquire(milliseconds.getAsLong()).ifPresent(leftOut -> {
            fields.put("leftOut", leftOut);
            write(fields);
        });
    }

    private String describe(VersionOrigin origin) {
        return peer(origin).map(peer -> nameOf(origin) + " " + peer).orElse(nameOf(origin));
    }

    private Optional<String> peer(VersionOrigin origin) {
        return switch (origin) {
            case VersionOrigin.Store _ -> Optional.empty();
            case VersionOrigin.Push push -> Optional.of(peerNames.apply(push.peer()));
            case VersionOrigin.Fetch fetch -> Optional.of(peerNames.apply(fetch.peer()));
            case VersionOrigin.Advertisement advertisement -> Optional.of(peerNames.apply(advertisement.peer()));
        };
    }

    private static String nameOf(VersionOrigin origin) {
        return switch (origin) {
            case VersionOrigin.Store _ -> "store";
            case VersionOrigin.Push _ -> "push";
            case VersionOrigin.Fetch _ -> "fetch";
            case VersionOrigin.Advertisement _ -> "advertisement";
        };
    }

    private static Optional<String> detail(PeerFailure failure) {
        return switch (failure) {
            case PeerFailure.Unreachable unreachable -> Optional.of(unreachable.reason());
            case PeerFailure.Malformed malformed -> Optional.of(malformed.reason());
            case PeerFailure.TimedOut _ -> Optional.empty();
        };
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /** Allows one line in each interval and counts those left out. */
    private static final class LineLimit {
        private long nextMilliseconds = Long.MIN_VALUE;
        private long leftOut;

        /** Returns the number of lines left out since the last one; empty when this one is left out, too. */
        synchronized Optional<Long> acquire(long nowMilliseconds) {
            if (nowMilliseconds < nextMilliseconds) {
                leftOut++;
                return Optional.empty();
            }
            nextMilliseconds = nowMilliseconds + TRANSFER_LINE_INTERVAL_MILLISECONDS;
            long count = leftOut;
            leftOut = 0;
            return Optional.of(count);
        }
    }
}
