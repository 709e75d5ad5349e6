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
 * A node's part in serving requests: the entry, the guard and what they decide with.
 *
 * <p>Invariant: the parts are wired once and never replaced. Thread safe.
 */
final class DataPlane implements AutoCloseable {
    private static final int CONNECTIONS_PER_PEER = 512;
    private static final int SLOTS_BEFORE_CONFIGURATION = 10_000;
    private static final int QUEUE_BEFORE_CONFIGURATION = 0;
    private static final long HEALTH_PAUSE_MILLISECONDS = 500;
    private static final long EXPIRY_PAUSE_MILLISECONDS = 250;
    private static final long SETTLE_PAUSE_MILLISECONDS = 1_000;
    private static final long IDLE_PAUSE_MILLISECONDS = 5_000;
    private static final Duration IDLE_CONNECTION = Duration.ofSeconds(30);

    private final NodeSettings settings;
    private final UpstreamClient client = UpstreamClient.of(CONNECTIONS_PER_PEER);
    private final AdmissionController admission;
    private final CrashQuarantine quarantine;
    private final TargetMonitor monitor;
    private final BookingClaims claims;
    private final UpstreamStatistics statistics;
    private final Guard guard;
    private final EntryDependencies parts;
    private Optional<HttpListener> callers = Optional.empty();
    private Optional<HttpListener> peers = Optional.empty();

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
        this.parts = new EntryDependencies(
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

    // -- parts

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

    int inFlight() {
        return callers.map(HttpListener::inFlight).orElse(0)
                + peers.map(HttpListener::inFlight).orElse(0);
    }

    // -- commands

    /** Starts to listen for callers and for other nodes. */
    Either<ListenerFailure, DataPlane> listen(RoutingState routing, Recovery recovery, NodeMetrics metrics) {
        Entry entry = Entry.of(routing::table, recovery::isReady, parts, BookingHandler.of(claims));
        RequestHandler counted = metrics.counted(entry);
        Address callerAddress = settings.listen().caller();
        Address peerAddress = settings.listen().peer();
        ListenerLimits limits = ListenerLimits.defaults();
        return HttpListener.start(callerAddress.host(), callerAddress.port(), counted, limits)
                .peek(listener -> callers = Optional.of(listener))
                .flatMap(_ -> HttpListener.start(peerAddress.host(), peerAddress.port(), guard, limits))
                .peek(listener -> peers = Optional.of(listener))
                .map(_ -> this);
    }

    void start(Loops loops) {
        loops.every(HEALTH_PAUSE_MILLISECONDS, monitor::checkHealth);
        loops.every(EXPIRY_PAUSE_MILLISECONDS, admission::expire);
        loops.every(SETTLE_PAUSE_MILLISECONDS, claims::retryPendingSettlements);
        loops.every(IDLE_PAUSE_MILLISECONDS, () -> client.closeIdleConnections(IDLE_CONNECTION));
    }

    /** Takes over the limits that the local service's routes declare. */
    void configure(RoutingTable table) {
        int queue = 0;
        int reserved = 0;
        Optional<Integer> slots = Optional.empty();
        for (RoutingTable.Entry entry : table.entries()) {
            if (!entry.service().name().equals(settings.target().service())) {
                continue;
            }
            slots = Optional.of(entry.service().slots());
            queue = Math.max(queue, entry.trafficPolicy().queueLimit());
            reserved = Math.max(reserved, entry.trafficPolicy().reservedShortPercent());
        }
        if (slots.isPresent()) {
            admission.updateLimits(AdmissionLimits.of(slots.get(), queue, reserved));
        }
    }

    /** Lets callers and other nodes move their connections elsewhere. */
    void shed() {
        callers.ifPresent(HttpListener::disableKeepAlive);
        peers.ifPresent(HttpListener::disableKeepAlive);
    }

    /** Finishes what callers sent, then what other nodes sent; returns whether all was finished. */
    boolean drain(Duration longest) {
        long end = System.nanoTime() + longest.toNanos();
        boolean areCallersDone =
                callers.map(listener -> listener.drain(longest)).orElse(true);
        Duration left = Duration.ofNanos(Math.max(0, end - System.nanoTime()));
        boolean arePeersDone = peers.map(listener -> listener.drain(left)).orElse(true);
        return areCallersDone && arePeersDone;
    }

    @Override
    public void close() {
        callers.ifPresent(HttpListener::close);
        peers.ifPresent(HttpListener::close);
        client.close();
    }
}
