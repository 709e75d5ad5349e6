package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
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
import org.oleanderturn.proxy.Entry;
import org.oleanderturn.proxy.EntryDependencies;
import org.oleanderturn.proxy.Guard;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.TargetMonitor;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.traffic.AdmissionController;
import org.oleanderturn.traffic.AdmissionLimits;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.traffic.HedgePolicy;
import org.oleanderturn.traffic.OutlierEjection;
import org.oleanderturn.traffic.RetryPolicy;
import org.oleanderturn.traffic.RouteBudgets;
import org.oleanderturn.traffic.TwoChoicesBalancer;
import org.oleanderturn.traffic.UpstreamStatistics;

/**
 * Test rig in one process over loopback: targets behind one guard each, and one entry. A random entry that calls the same
 * targets without guards serves as the baseline.
 *
 * <p>Used by one thread.
 */
final class TrafficRig implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final long SEED = 1;
    private static final int CONNECTIONS_PER_ADDRESS = 4_000;
    private static final int SERVICE_CONNECTIONS = 120;
    private static final long EXPIRY_INTERVAL_MILLISECONDS = 20;
    private static final Pattern STARTED_REQUESTS = Pattern.compile("\"(?:served|cancelled)\":(\\d+)");
    private static final Locality LOCALITY = Locality.of("south", "hobart");
    private static final LongSupplier NANOSECOND_CLOCK = System::nanoTime;

    private final TrafficPlan plan;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final UpstreamClient client = UpstreamClient.of(CONNECTIONS_PER_ADDRESS);
    private final RandomGenerator random = new Random(SEED);
    private final List<TargetStandIn> standIns = new ArrayList<>();
    private final List<HttpListener> listeners = new ArrayList<>();
    private final List<Address> targets = new ArrayList<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private Address entryAddress;
    private Address randomEntryAddress;
    private TrafficRandomEntry randomEntryHandler;

    private TrafficRig(TrafficPlan plan) {
        this.plan = plan;
    }

    static TrafficRig start(TrafficPlan plan) {
        Objects.requireNonNull(plan, "plan is null");
        TrafficRig rig = new TrafficRig(plan);
        try {
            rig.startAll();
            return rig;
        } catch (RuntimeException failure) {
            rig.close();
            throw failure;
        }
    }

    // -- queries

    TrafficGenerator.Destination entry(String path) {
        return new TrafficGenerator.Destination(entryAddress, path, timeout());
    }

    TrafficGenerator.Destination randomEntry(String path) {
        return new TrafficGenerator.Destination(randomEntryAddress, path, timeout());
    }

    Duration timeout() {
        return Duration.ofMillis(plan.policy().timeoutMilliseconds());
    }

    /** Returns the number of requests that the targets started, including those whose callers cancelled. */
    long countStartedRequests(TrafficGenerator generator) {
        long total = 0;
        for (Address target : targets) {
            String counts = generator
                    .fetch(target, "/admin/counts")
                    .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                    .orElse("");
            Matcher matcher = STARTED_REQUESTS.matcher(counts);
            while (matcher.find()) {
                total += Long.parseLong(matcher.group(1));
            }
        }
        return total;
    }

    // -- commands

    /** Changes the behaviour of the first {@code count} targets; works only for shedding targets. */
    void setBehaviour(int count, TargetBehaviour behaviour) {
        standIns.stream().limit(count).forEach(target -> target.setBehaviour(behaviour));
    }

    @Override
    public void close() {
        if (randomEntryHandler != null) {
            randomEntryHandler.stop();
        }
        executor.shutdownNow();
        listeners.forEach(HttpListener::close);
        standIns.forEach(TargetStandIn::close);
        client.close();
    }

    // -- start

    private void startAll() {
        for (int number = 0; number < plan.targetCount(); number++) {
            Address target = startTarget("target-" + number);
            targets.add(target);
            startGuard(number, target);
        }
        RoutingTable table = routingTable();
        entryAddress = startListener(Entry.withoutBookings(() -> table, entryDependencies()));
        int attempts = plan.policy().maximumAttempts();
        randomEntryHandler = new TrafficRandomEntry(targets, client, attempts, timeout());
        randomEntryAddress = startListener(randomEntryHandler);
    }

    private Address startTarget(String name) {
        return switch (plan.targetKind()) {
            case QUEUEING -> startListener(new TrafficQueueingTarget(plan.behaviour()));
            case SHEDDING -> {
                TargetStandIn target = require(TargetStandIn.start(name, 0, plan.behaviour()));
                standIns.add(target);
                yield Address.of(HOST, target.port());
            }
        };
    }

    private void startGuard(int number, Address target) {
        NodeId node = NodeId.of("node-" + number);
        int slots = plan.behaviour().slots();
        CrashQuarantine quarantine = quarantine(node);
        AdmissionLimits limits = AdmissionLimits.of(
                slots, plan.policy().queueLimit(), plan.policy().reservedShortPercent());
        AdmissionController admission = AdmissionController.of(limits, NANOSECOND_CLOCK, random);
        TargetMonitor monitor = TargetMonitor.of(target, "/health", client, admission, quarantine);
        monitor.setNodeReady(true);
        monitor.checkHealth();
        executor.execute(() -> expireQueuedRequests(admission));
        Address guard = startListener(
                Guard.of(target, service().name(), admission, quarantine, client, monitor, NANOSECOND_CLOCK));
        endpoints.add(new Endpoint(node, guard, LOCALITY, service().name(), slots, EndpointState.READY, 1));
    }

    private static void expireQueuedRequests(AdmissionController admission) {
        while (!Thread.currentThread().isInterrupted()) {
            admission.expire();
            BenchClock.pause((double) EXPIRY_INTERVAL_MILLISECONDS);
        }
    }

    private EntryDependencies entryDependencies() {
        OutlierEjection ejection = OutlierEjection.of(plan.ejection());
        UpstreamStatistics statistics = UpstreamStatistics.of(ejection, NANOSECOND_CLOCK);
        return new EntryDependencies(
                LOCALITY,
                TwoChoicesBalancer.of(statistics, ejection, NANOSECOND_CLOCK, random),
                statistics,
                RetryPolicy.of(random),
                RouteBudgets.empty(),
                HedgePolicy.of(NANOSECOND_CLOCK),
                quarantine(NodeId.of("entry")),
                client,
                executor,
                NANOSECOND_CLOCK);
    }

    private CrashQuarantine quarantine(NodeId node) {
        return CrashQuarantine.of(node, System::currentTimeMillis, random);
    }

    private Service service() {
        return Service.of("bench", plan.behaviour().slots(), SERVICE_CONNECTIONS);
    }

    private RoutingTable routingTable() {
        List<Route> routes = List.of(route("lookup", RequestKind.LOOKUP), route("download", RequestKind.DOWNLOAD));
        Configuration configuration = Configuration.of(List.of(service()), routes, List.of(plan.policy()));
        return RoutingTable.of(
                ConfigurationSnapshot.of(ConfigurationVersion.of(1), configuration), EndpointView.of(endpoints));
    }

    private Route route(String name, RequestKind kind) {
        return Route.of(
                RouteName.of(name),
                "/" + name,
                List.of("GET"),
                service().name(),
                kind,
                plan.policy().name());
    }

    private Address startListener(RequestHandler handler) {
        HttpListener listener = require(HttpListener.start(HOST, 0, handler, ListenerLimits.defaults()));
        listeners.add(listener);
        return listener.address();
    }

    private static <T> T require(Either<ListenerFailure, T> started) {
        return started.getOrElseThrow(failure -> new IllegalStateException(failure.toString()));
    }
}
