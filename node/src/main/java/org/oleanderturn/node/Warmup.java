package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.Entry;
import org.oleanderturn.proxy.EntryDependencies;
import org.oleanderturn.proxy.Guard;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.TargetMonitor;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.proxy.UpstreamResponse;
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
 * Sends lookups through a private entry and guard, so that the JIT compiler has compiled the request path before callers
 * connect.
 *
 * <p>Invariant: it shares no state with the node; its listeners are bound to loopback and closed at the end. Not thread
 * safe.
 */
final class Warmup implements AutoCloseable {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final String LOOPBACK = "127.0.0.1";
    private static final int CONCURRENT_SENDERS = 4;
    private static final int CONNECTIONS = 16;
    private static final int SLOTS = 64;
    private static final int POLICY_TIMEOUT_MILLISECONDS = 5_000;
    private static final int BODY_LIMIT_BYTES = 65_536;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final Locality LOCALITY = Locality.of("warmup", "warmup");
    private static final NodeId NODE = NodeId.of("warmup");
    private static final Service SERVICE = Service.of("warmup", SLOTS, SLOTS);
    private static final TrafficPolicy POLICY =
            new TrafficPolicy(TrafficPolicyName.of("warmup"), POLICY_TIMEOUT_MILLISECONDS, 2, 20, 95, 5, SLOTS, 0);
    private static final Route ROUTE =
            Route.of(RouteName.of("warmup"), "/", List.of("GET"), SERVICE.name(), RequestKind.LOOKUP, POLICY.name());

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final UpstreamClient client = UpstreamClient.of(CONNECTIONS);
    private final RandomGenerator random = SharedRandom.create();
    private final LongSupplier nanoseconds = System::nanoTime;
    private final List<HttpListener> listeners = new ArrayList<>();

    private Warmup() {}

    /** Sends requests until the timeout expires or the given number has been sent; blocks. */
    static void run(Duration timeout, int requests) {
        Objects.requireNonNull(timeout, "timeout is null");
        long start = System.nanoTime();
        try (Warmup warmup = new Warmup()) {
            int sent = warmup.start()
                    .map(entry -> warmup.send(entry, timeout, requests))
                    .getOrElse(0);
            long milliseconds = Duration.ofNanos(System.nanoTime() - start).toMillis();
            log.atInfo().log("warmed up with %d requests in %d ms", sent, milliseconds);
        }
    }

    @Override
    public void close() {
        listeners.forEach(HttpListener::close);
        client.close();
        executor.shutdown();
    }

    // -- listeners

    private Either<ListenerFailure, Address> start() {
        return listen(_ -> Response.text(200, "text/plain", "warm\n"))
                .flatMap(target -> listen(guard(target)))
                .flatMap(guard -> listen(entry(guard)));
    }

    private Either<ListenerFailure, Address> listen(RequestHandler handler) {
        return HttpListener.start(LOOPBACK, 0, handler, ListenerLimits.defaults())
                .peek(listeners::add)
                .map(HttpListener::address);
    }

    private Guard guard(Address target) {
        CrashQuarantine quarantine = CrashQuarantine.of(NODE, System::currentTimeMillis, random);
        AdmissionController admission =
                AdmissionController.of(AdmissionLimits.of(SLOTS, SLOTS, 0), nanoseconds, random);
        TargetMonitor monitor = TargetMonitor.of(target, "/", client, admission, quarantine);
        monitor.setNodeReady(true);
        monitor.checkHealth();
        return Guard.of(target, SERVICE.name(), admission, quarantine, client, monitor, nanoseconds);
    }

    private RequestHandler entry(Address guard) {
        OutlierEjection ejection = OutlierEjection.of(EjectionSettings.defaults());
        UpstreamStatistics statistics = UpstreamStatistics.of(ejection, nanoseconds);
        EntryDependencies dependencies = new EntryDependencies(
                LOCALITY,
                TwoChoicesBalancer.of(statistics, ejection, nanoseconds, random),
                statistics,
                RetryPolicy.of(random),
                RouteBudgets.empty(),
                HedgePolicy.of(nanoseconds),
                CrashQuarantine.of(NODE, System::currentTimeMillis, random),
                client,
                executor,
                nanoseconds);
        RoutingTable table = table(guard);
        return Entry.withoutBookings(() -> table, dependencies);
    }

    private static RoutingTable table(Address guard) {
        Endpoint endpoint = new Endpoint(NODE, guard, LOCALITY, SERVICE.name(), SLOTS, EndpointState.READY, 1);
        Configuration configuration = Configuration.of(List.of(SERVICE), List.of(ROUTE), List.of(POLICY));
        return RoutingTable.of(
                ConfigurationSnapshot.of(ConfigurationVersion.of(1), configuration),
                EndpointView.of(List.of(endpoint)));
    }

    // -- requests

    private int send(Address entry, Duration timeout, int requests) {
        long end = System.nanoTime() + timeout.toNanos();
        AtomicInteger sent = new AtomicInteger();
        try (ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int sender = 0; sender < CONCURRENT_SENDERS; sender++) {
                senders.execute(() -> {
                    while (sent.getAndIncrement() < requests && System.nanoTime() < end && isAnswered(entry)) {
                        Thread.onSpinWait();
                    }
                });
            }
        }
        return Math.min(requests, sent.get());
    }

    private boolean isAnswered(Address entry) {
        OutboundRequest request = new OutboundRequest(
                "GET", "/warmup", List.of(), new byte[0], SendPolicy.POOLED, REQUEST_TIMEOUT, REQUEST_TIMEOUT);
        Either<UpstreamFailure, UpstreamResponse> result = client.send(entry, request, Cancellation.create());
        if (result.isLeft()) {
            return false;
        }
        try (UpstreamResponse response = result.get()) {
            return response.readBody(BODY_LIMIT_BYTES).isPresent();
        } catch (IOException cause) {
            return false;
        }
    }
}
