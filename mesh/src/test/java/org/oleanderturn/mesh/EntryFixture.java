package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.traffic.CoreAdmission;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.ExchangeSizes;
import org.oleanderturn.traffic.LeastLatencyBalancer;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.OfferThrottles;
import org.oleanderturn.traffic.TargetLoadTracker;
import org.oleanderturn.traffic.WindowedRetryBudget;

/** An entry and scripted guards on loopback; the entry chooses the guards in the order in which they were added. */
final class EntryFixture implements AutoCloseable {
    static final LoadReport IDLE = new LoadReport(9, 0, 0, 30);
    private static final LoadReport FULL = new LoadReport(9, 9, 9, 30);
    private static final Duration SLOW_REFUSAL = Duration.ofMillis(60);
    private static final Locality LOCALITY = Locality.of("south", "zone-0");
    private static final Service SERVICE = Service.of("service", 9, 100);
    private static final int TIMEOUT_MILLISECONDS = 2_000;

    private final OfferThrottles throttles = OfferThrottles.of(System::nanoTime, new SplittableRandom(4));
    private final List<HttpListener> guards = new ArrayList<>();
    private final List<AtomicInteger> requestCounts = new ArrayList<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final UpstreamClient client = UpstreamClient.of(8);
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final long startNanoseconds = System.nanoTime();

    /** Its clock stands still, so that a report stays recent however slowly a test runs. */
    private final TargetLoadTracker loads = TargetLoadTracker.of(() -> startNanoseconds);

    private final TargetConditions conditions = TargetConditions.empty();
    final List<Decision> decisions = new CopyOnWriteArrayList<>();
    boolean isReady = true;
    RolloutPlacement rollouts = RolloutPlacement.none();
    VersionStatus versionStatus = new VersionStatus.Newest();
    Authenticator authenticator = Authenticator.failOpen();
    private final AtomicReference<RouteIndex> index = new AtomicReference<>(RouteIndex.empty());
    private Optional<List<Organisation>> organisations = Optional.empty();

    /** Adds a guard that gives the same reply to every request. */
    EntryFixture addGuard(GuardReply reply) {
        return addGuard(_ -> GuardReplyCodec.encode(reply, IDLE, Optional.empty()));
    }

    /** Adds a guard; the first is in the region of the entry and idle, each further one is remote and more loaded. */
    EntryFixture addGuard(RequestHandler handler) {
        AtomicInteger count = new AtomicInteger();
        RequestHandler countingHandler = request -> {
            count.incrementAndGet();
            return handler.handle(request);
        };
        HttpListener listener = HttpListener.start("127.0.0.1", 0, countingHandler, ListenerLimits.defaults())
                .get();
        NodeId node = NodeId.of("node-" + guards.size());
        Locality locality = Locality.of(guards.isEmpty() ? "south" : "north", "zone-" + guards.size());
        endpoints.add(new Endpoint(node, listener.address(), locality, SERVICE.name(), 9, EndpointState.READY, 1));
        loads.recordReport(node, guards.isEmpty() ? IDLE : new LoadReport(9, 9, 9 * guards.size(), 30));
        guards.add(listener);
        requestCounts.add(count);
        return this;
    }

    MeshEntry entry(RequestKind kind, int attempts, ProtocolAdapter adapter) {
        index.set(index(kind, attempts));
        return MeshEntry.of(index::get, () -> isReady, _ -> versionStatus, authenticator, adapter, dependencies());
    }

    /** Lets the next version, or the first one before an entry is made, declare organisations with one key each. */
    void declare(Map<String, String> keysByOrganisation) {
        organisations = Optional.of(keysByOrganisation.entrySet().stream()
                .map(entry -> Organisation.of(
                        OrganisationName.of(entry.getKey()), List.of(KeyDigest.ofKey(entry.getValue()))))
                .toList());
        ConfigurationSnapshot held = index.get().snapshot();
        index.set(RouteIndex.of(ConfigurationSnapshot.of(
                ConfigurationVersion.of(held.version().number() + 1),
                held.configuration().withOrganisations(organisations))));
    }

    /** Returns an explainer of the choices of an entry for lookups. */
    PlacementExplainer explainer() {
        RouteIndex index = index(RequestKind.LOOKUP, 3);
        return PlacementExplainer.of(
                () -> index, () -> isReady, Authenticator.failOpen(), LOCALITY, "LEAST_LATENCY", dependencies());
    }

    private RouteIndex index(RequestKind kind, int attempts) {
        TrafficPolicy policy =
                new TrafficPolicy(TrafficPolicyName.of("policy"), TIMEOUT_MILLISECONDS, attempts, 0, 0, 0, 0, 0);
        Route route = new Route(
                RouteName.of("route"),
                "/a/",
                List.of(),
                SERVICE.name(),
                kind,
                policy.name(),
                Optional.of("host.example"),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
        return RouteIndex.of(ConfigurationSnapshot.of(
                ConfigurationVersion.of(1),
                Configuration.of(List.of(SERVICE), List.of(route), List.of(policy))
                        .withOrganisations(organisations)));
    }

    private MeshEntryDependencies dependencies() {
        LeastLatencyBalancer balancer =
                LeastLatencyBalancer.of(loads, LOCALITY, System::nanoTime, new SplittableRandom(1));
        WindowedRetryBudget retryBudget = WindowedRetryBudget.of(
                1, () -> 0, Duration.ofSeconds(10).toNanos(), System.nanoTime(), System::nanoTime);
        return new MeshEntryDependencies(
                SERVICE.name(),
                () -> EndpointView.of(endpoints),
                balancer,
                loads,
                conditions,
                ExchangeSizes.empty(),
                throttles,
                _ -> retryBudget,
                GuardClient.remoteOnly(client, loads, conditions),
                CrashMonitor.of(
                        NodeId.of("entry"),
                        CrashLedger.of(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime())),
                        decisions::add,
                        System::nanoTime),
                CoreAdmission.of(System::nanoTime, new SplittableRandom(3)),
                RequestLimiter.unlimited(),
                rollouts,
                scheduler,
                decisions::add,
                System::nanoTime,
                new SplittableRandom(2));
    }

    /** Marks a guard's target as draining. */
    void drain(int guard) {
        endpoints.set(guard, withState(endpoints.get(guard), EndpointState.DRAINING));
    }

    private static Endpoint withState(Endpoint endpoint, EndpointState state) {
        return new Endpoint(
                endpoint.node(),
                endpoint.address(),
                endpoint.locality(),
                endpoint.service(),
                endpoint.slots(),
                state,
                endpoint.incarnation());
    }

    /** Records a report of a guard whose slots are all free. */
    void reportIdle(int guard) {
        loads.recordReport(endpoints.get(guard).node(), IDLE);
    }

    /** Returns how many requests a guard got; guards are numbered from 0. */
    int requestCount(int guard) {
        return requestCounts.get(guard).get();
    }

    static GuardReply ran(int status, String body) {
        return new GuardReply.Ran(
                new BufferedResponse(status, List.of(), body.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    static GuardReply notRun() {
        return new GuardReply.NotRun("FULL", false, Duration.ofMillis(300));
    }

    /** Refuses a request as a guard does whose target is full and whose core has more to do than it can. */
    static Response refuseSlowly(InboundRequest request) {
        LockSupport.parkNanos(SLOW_REFUSAL.toNanos());
        return GuardReplyCodec.encode(notRun(), FULL, Optional.empty());
    }

    static GuardReply unknown() {
        return GuardReply.Unknown.of("ANSWER_LOST");
    }

    @Override
    public void close() {
        guards.forEach(HttpListener::close);
        client.close();
        scheduler.shutdownNow();
    }
}
