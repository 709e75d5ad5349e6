package org.oleanderturn.node;

import io.vavr.control.Either;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.claims.BookingClaims;
import org.oleanderturn.claims.ClaimSettings;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.proxy.BookingHandler;
import org.oleanderturn.proxy.Entry;
import org.oleanderturn.proxy.EntryDependencies;
import org.oleanderturn.proxy.Guard;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.TargetMonitor;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.store.Store;
import org.oleanderturn.traffic.AdmissionController;
import org.oleanderturn.traffic.AdmissionLimits;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.traffic.EjectionSettings;
import org.oleanderturn.traffic.HedgePolicy;
import org.oleanderturn.traffic.OutlierEjection;
import org.oleanderturn.traffic.RetryPolicy;
import org.oleanderturn.traffic.RouteBudgets;
import org.oleanderturn.traffic.TwoChoicesBalancer;
import org.oleanderturn.traffic.UpstreamStatistics;

/**
 * The data plane of a node: the entry, which proxies callers' requests, the guard, which admits requests to the local
 * target, and the components that both depend on.
 *
 * <p>Invariant: the components are created once and never replaced. Thread safe.
 */
final class DataPlane implements AutoCloseable {
    private static final int CONNECTIONS_PER_PEER = 512;
    private static final int SLOTS_BEFORE_CONFIGURATION = 10_000;
    private static final int QUEUE_BEFORE_CONFIGURATION = 0;
    private static final long HEALTH_CHECK_INTERVAL_MILLISECONDS = 500;
    private static final long QUEUE_EXPIRY_INTERVAL_MILLISECONDS = 250;
    private static final long SETTLEMENT_RETRY_INTERVAL_MILLISECONDS = 1_000;
    private static final long IDLE_CHECK_INTERVAL_MILLISECONDS = 5_000;
    private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(30);

    private final NodeSettings settings;
    private final UpstreamClient client = UpstreamClient.of(CONNECTIONS_PER_PEER);
    private final AdmissionController admission;
    private final CrashQuarantine quarantine;
    private final TargetMonitor monitor;
    private final BookingClaims claims;
    private final UpstreamStatistics statistics;
    private final Guard guard;
    private final EntryDependencies entryDependencies;
    private Optional<HttpListener> callerListener = Optional.empty();
    private Optional<HttpListener> peerListener = Optional.empty();

    DataPlane(NodeSettings settings, Store store, ExecutorService executor, LongSupplier milliseconds) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        RandomGenerator random = SharedRandom.create();
        LongSupplier nanoseconds = System::nanoTime;
        AdmissionLimits limits = AdmissionLimits.of(SLOTS_BEFORE_CONFIGURATION, QUEUE_BEFORE_CONFIGURATION, 0);
        this.admission = AdmissionController.of(limits, nanoseconds, random);
        this.quarantine = CrashQuarantine.of(settings.node(), milliseconds, random);
        Address target = settings.target().address();
        this.monitor = TargetMonitor.of(target, settings.target().healthPath(), client, admission, quarantine);
        this.claims = BookingClaims.of(store, ClaimSettings.defaults(), System::currentTimeMillis, new SecureRandom());
        OutlierEjection ejection = OutlierEjection.of(EjectionSettings.defaults());
        this.statistics = UpstreamStatistics.of(ejection, nanoseconds);
        this.guard = Guard.of(target, settings.target().service(), admission, quarantine, client, monitor, nanoseconds);
        this.entryDependencies = new EntryDependencies(
                settings.locality(),
                TwoChoicesBalancer.of(statistics, ejection, nanoseconds, random),
                statistics,
                RetryPolicy.of(random),
                RouteBudgets.empty(),
                HedgePolicy.of(nanoseconds),
                quarantine,
                client,
                executor,
                nanoseconds);
    }

    // -- components

    TargetMonitor monitor() {
        return monitor;
    }

    CrashQuarantine quarantine() {
        return quarantine;
    }

    AdmissionController admission() {
        return admission;
    }

    BookingClaims claims() {
        return claims;
    }

    UpstreamStatistics statistics() {
        return statistics;
    }

    /** Returns the number of requests from callers and from other nodes that have not been completed. */
    int inFlight() {
        return callerListener.map(HttpListener::inFlight).orElse(0)
                + peerListener.map(HttpListener::inFlight).orElse(0);
    }

    // -- commands

    /** Binds the listeners for callers and for other nodes. */
    Either<ListenerFailure, DataPlane> listen(RoutingState routing, Recovery recovery, NodeMetrics metrics) {
        Entry entry = Entry.of(routing::table, recovery::isReady, entryDependencies, BookingHandler.of(claims));
        RequestHandler instrumentedEntry = metrics.instrumented(entry);
        Address callerAddress = settings.listen().caller();
        Address peerAddress = settings.listen().peer();
        ListenerLimits limits = ListenerLimits.defaults();
        return HttpListener.start(callerAddress.host(), callerAddress.port(), instrumentedEntry, limits)
                .peek(listener -> callerListener = Optional.of(listener))
                .flatMap(_ -> HttpListener.start(peerAddress.host(), peerAddress.port(), guard, limits))
                .peek(listener -> peerListener = Optional.of(listener))
                .map(_ -> this);
    }

    /** Starts the periodic tasks. */
    void start(PeriodicTasks tasks) {
        tasks.runEvery(HEALTH_CHECK_INTERVAL_MILLISECONDS, monitor::checkHealth);
        tasks.runEvery(QUEUE_EXPIRY_INTERVAL_MILLISECONDS, admission::expire);
        tasks.runEvery(SETTLEMENT_RETRY_INTERVAL_MILLISECONDS, claims::retryPendingSettlements);
        tasks.runEvery(IDLE_CHECK_INTERVAL_MILLISECONDS, () -> client.closeIdleConnections(IDLE_CONNECTION_TIMEOUT));
    }

    /** Applies the slots of the local service and the largest queue limit and reserved share among its routes. */
    void updateLimits(RoutingTable table) {
        int queueLimit = 0;
        int reservedPercent = 0;
        Optional<Integer> slots = Optional.empty();
        for (RoutingTable.Entry entry : table.entries()) {
            if (!entry.service().name().equals(settings.target().service())) {
                continue;
            }
            slots = Optional.of(entry.service().slots());
            queueLimit = Math.max(queueLimit, entry.trafficPolicy().queueLimit());
            reservedPercent = Math.max(reservedPercent, entry.trafficPolicy().reservedShortPercent());
        }
        if (slots.isPresent()) {
            admission.updateLimits(AdmissionLimits.of(slots.get(), queueLimit, reservedPercent));
        }
    }

    /** Closes connections after their current response, so that callers and other nodes reconnect elsewhere. */
    void disableKeepAlive() {
        callerListener.ifPresent(HttpListener::disableKeepAlive);
        peerListener.ifPresent(HttpListener::disableKeepAlive);
    }

    /** Completes callers' requests, then those of other nodes; returns whether all completed within the timeout. */
    boolean drain(Duration timeout) {
        long end = System.nanoTime() + timeout.toNanos();
        boolean areCallersDone =
                callerListener.map(listener -> listener.drain(timeout)).orElse(true);
        Duration remaining = Duration.ofNanos(Math.max(0, end - System.nanoTime()));
        boolean arePeersDone =
                peerListener.map(listener -> listener.drain(remaining)).orElse(true);
        return areCallersDone && arePeersDone;
    }

    @Override
    public void close() {
        callerListener.ifPresent(HttpListener::close);
        peerListener.ifPresent(HttpListener::close);
        client.close();
    }
}
