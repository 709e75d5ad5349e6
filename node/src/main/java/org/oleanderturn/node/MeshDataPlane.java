package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleanderturn.mesh.Authenticator;
import org.oleanderturn.mesh.CrashMonitor;
import org.oleanderturn.mesh.DecisionLog;
import org.oleanderturn.mesh.EntryStop;
import org.oleanderturn.mesh.GuardClient;
import org.oleanderturn.mesh.LocalTarget;
import org.oleanderturn.mesh.MeshEntry;
import org.oleanderturn.mesh.MeshEntryDependencies;
import org.oleanderturn.mesh.MeshGuard;
import org.oleanderturn.mesh.PlacementExplainer;
import org.oleanderturn.mesh.RequestLimiter;
import org.oleanderturn.mesh.ResponsePacer;
import org.oleanderturn.mesh.RolloutPlacement;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.mesh.TargetCallHandler;
import org.oleanderturn.mesh.TargetCondition;
import org.oleanderturn.mesh.TargetConditions;
import org.oleanderturn.mesh.TargetHealthCheck;
import org.oleanderturn.mesh.VersionCheck;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.PlatformProtocolAdapter;
import org.oleanderturn.proxy.BodyMemoryBudget;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.traffic.CoreAdmission;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.EvenLoadBalancer;
import org.oleanderturn.traffic.ExchangeSizes;
import org.oleanderturn.traffic.InducedRetries;
import org.oleanderturn.traffic.LeastLatencyBalancer;
import org.oleanderturn.traffic.LinkSchedule;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.OfferThrottles;
import org.oleanderturn.traffic.SlotQueue;
import org.oleanderturn.traffic.TargetLoadTracker;
import org.oleanderturn.traffic.TargetPlacement;
import org.oleanderturn.traffic.WindowedRetryBudget;

/**
 * The data plane of a node on the users' platform: the entry, the guard and the state of the local target.
 *
 * <p>Invariant: the components are created once and never replaced. Thread safe.
 */
final class MeshDataPlane implements AutoCloseable {
    /** Reports of other targets in a reply: about 170 bytes, which keep the knowledge of 94 nodes 80 ms old in the median. */
    private static final int REPORTS_PASSED_ON = 6;

    /** Consecutive heartbeats a target may miss before it counts as gone; heartbeats may arrive seconds late. */
    private static final int TOLERATED_MISSED_HEARTBEATS = 5;

    /** Share of the ratio that is used; the rest allows for windows that begin at other moments than those of the limit. */
    private static final double RETRY_RATIO_SHARE = 0.85;

    /** Share of the constant that is used; the rest allows for nodes that know of fewer others. */
    private static final double RETRY_CONSTANT_SHARE = 0.9;

    private static final long HEARTBEAT_CHECK_INTERVAL_MILLISECONDS = 500;
    private static final long IDLE_CHECK_INTERVAL_MILLISECONDS = 2_000;
    private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(8);

    /** Longer than any configuration lets clients reuse an idle connection. */
    private static final Duration CLIENT_IDLE_TIMEOUT = Duration.ofMinutes(10);

    /** Most requests complete earlier; the rest still end within half a second after their client disconnects. */
    private static final Duration DISCONNECT_WATCH_DELAY = Duration.ofMillis(150);

    private static final int MAXIMUM_CLIENT_LINE_BYTES = 65_536;
    private static final int MAXIMUM_CLIENT_HEADERS = 256;
    private static final int MAXIMUM_CLIENT_CONNECTIONS = 2_500;

    private final NodeSettings settings;
    private final IntSupplier fleetSize;
    private final DataPlaneRuntime runtime;
    private final ConcurrentHashMap<ServiceName, WindowedRetryBudget> retryBudgets = new ConcurrentHashMap<>();
    private final BodyMemoryBudget bodyBudget = BodyMemoryBudget.ofHeapShare();
    private final TargetLoadTracker loadTracker;
    private final TargetConditions conditions = TargetConditions.empty();
    private final CrashLedger crashLedger;
    private final CrashMonitor crashMonitor;
    private final LocalTarget target;
    private final MeshGuard guard;
    private final MeshEntryDependencies entryDependencies;
    private final String placement;
    private volatile NodeSettings.RetryLimit retryLimit;
    private volatile boolean isUsed;
    private volatile long retriesKnownSinceNanoseconds;
    private HttpListener callerListener;
    private HttpListener peerListener;
    private MeshEntry entry;
    private volatile PlacementExplainer explainer;

    MeshDataPlane(
            NodeSettings settings,
            NodeSettings.Mesh mesh,
            Supplier<EndpointView> endpoints,
            IntSupplier fleetSize,
            RolloutPlacement rollouts,
            DecisionLog decisions,
            RequestLimiter limiter,
            DataPlaneRuntime runtime) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.retryLimit = Objects.requireNonNull(mesh, "mesh is null").repeats();
        this.placement = mesh.chosenPlacement().name();
        this.fleetSize = Objects.requireNonNull(fleetSize, "fleetSize is null");
        this.runtime = Objects.requireNonNull(runtime, "runtime is null");
        LongSupplier nanoseconds = runtime.nanoseconds();
        this.retriesKnownSinceNanoseconds = nanoseconds.getAsLong();
        SlotQueue slots = SlotQueue.of(nanoseconds);
        this.target = LocalTarget.of(
                settings.node(), settings.target().service(), slots, heartbeatTimeout(mesh), nanoseconds);
        this.crashLedger = CrashLedger.of(() -> TimeUnit.NANOSECONDS.toMillis(nanoseconds.getAsLong()));
        this.crashMonitor = CrashMonitor.of(settings.node(), crashLedger, decisions, nanoseconds);
        target.onCrash(crashMonitor::endTarget);
        target.onConditionChange(conditions::merge);
        this.guard = guard(mesh, slots, decisions, nanoseconds);
        this.loadTracker = TargetLoadTracker.of(nanoseconds);
        passOnReports(mesh, endpoints);
        this.entryDependencies = new MeshEntryDependencies(
                settings.target().service(),
                endpoints,
                placement(mesh),
                loadTracker,
                conditions,
                ExchangeSizes.empty(),
                OfferThrottles.of(nanoseconds, runtime.random()),
                this::retryBudget,
                GuardClient.of(settings.node(), guard, runtime.peers(), loadTracker, conditions),
                crashMonitor,
                CoreAdmission.of(nanoseconds, runtime.random()),
                limiter,
                rollouts,
                runtime.timers(),
                decisions,
                nanoseconds,
                runtime.random());
    }

    private MeshGuard guard(NodeSettings.Mesh mesh, SlotQueue slots, DecisionLog decisions, LongSupplier nanoseconds) {
        return MeshGuard.of(
                settings.target().address(),
                target,
                slots,
                runtime.target(),
                runtime.slotWait(),
                PlatformProtocolAdapter.instance(),
                crashMonitor,
                decisions,
                ResponsePacer.of(linkSchedule(mesh, nanoseconds), runtime.pause()),
                InducedRetries.of(
                        this::calledBudgets, retryLimit.window().duration().toNanos(), nanoseconds),
                nanoseconds);
    }

    /** Lets replies carry the newest reports of the targets of this service, without further messages. */
    private void passOnReports(NodeSettings.Mesh mesh, Supplier<EndpointView> endpoints) {
        if (mesh.chosenPlacement() == NodeSettings.Placement.EVEN_LOAD) {
            guard.passOn(() -> loadTracker.newest(
                    endpoints.get().endpoints(settings.target().service()).stream()
                            .map(Endpoint::node)
                            .toList(),
                    REPORTS_PASSED_ON));
        }
    }

    private TargetPlacement placement(NodeSettings.Mesh mesh) {
        return switch (mesh.chosenPlacement()) {
            case LEAST_LATENCY ->
                LeastLatencyBalancer.of(loadTracker, settings.locality(), runtime.nanoseconds(), runtime.random());
            case EVEN_LOAD ->
                EvenLoadBalancer.of(loadTracker, settings.locality(), runtime.nanoseconds(), runtime.random());
        };
    }

    private static Duration heartbeatTimeout(NodeSettings.Mesh mesh) {
        return mesh.heartbeat().duration().multipliedBy(TOLERATED_MISSED_HEARTBEATS);
    }

    private static LinkSchedule linkSchedule(NodeSettings.Mesh mesh, LongSupplier nanoseconds) {
        return mesh.linkMegabitsPerSecond()
                .map(rate -> LinkSchedule.of(rate, nanoseconds))
                .orElseGet(() -> LinkSchedule.unlimited(nanoseconds));
    }

    // -- components

    /** Returns what is known of requests under which targets have ended. */
    CrashLedger crashLedger() {
        return crashLedger;
    }

    /** Returns what is known of what the targets ask of the nodes. */
    TargetConditions conditions() {
        return conditions;
    }

    CrashMonitor crashMonitor() {
        return crashMonitor;
    }

    LocalTarget target() {
        return target;
    }

    /** Returns the handler of other nodes' requests. */
    RequestHandler guard() {
        return guard;
    }

    TargetCallHandler targetCallHandler() {
        PlatformProtocolAdapter adapter = PlatformProtocolAdapter.instance();
        TargetHealthCheck check = TargetHealthCheck.of(settings.target().address(), runtime.target(), adapter);
        return TargetCallHandler.of(adapter, target, check);
    }

    /** Returns what explains choices of the entry; empty until the entry serves. */
    Optional<PlacementExplainer> explainer() {
        return Optional.ofNullable(explainer);
    }

    /** Returns whether a client or another node has sent a request since the start. */
    boolean isUsed() {
        return isUsed;
    }

    /** Returns the current load of the local target. */
    LoadReport load() {
        return guard.load();
    }

    /** Returns the bytes that the responses of all requests, of clients and of other nodes, hold now. */
    long heldResponseBytes() {
        return bodyBudget.reservedBytes();
    }

    /** Returns the requests of clients so far that were started while another of their connection was in service. */
    long pipelinedRequests() {
        return callerListener == null ? 0 : callerListener.pipelinedRequests();
    }

    /** Returns what this node has used of the retry budgets of all services together. */
    WindowedRetryBudget.Usage retryUsage() {
        int retries = 0;
        double limit = 0;
        for (WindowedRetryBudget budget : retryBudgets.values()) {
            WindowedRetryBudget.Usage usage = budget.usage();
            retries += usage.retries();
            limit += usage.limit();
        }
        return new WindowedRetryBudget.Usage(retries, limit);
    }

    private WindowedRetryBudget retryBudget(ServiceName service) {
        return retryBudgets.computeIfAbsent(
                service,
                _ -> WindowedRetryBudget.of(
                        retryLimit.ratio() * RETRY_RATIO_SHARE,
                        this::retryPart,
                        retryLimit.window().duration().toNanos(),
                        retriesKnownSinceNanoseconds,
                        runtime.nanoseconds()));
    }

    /**
     * Returns the retry budgets of the services that the local target may call. Its own is left out: at this node clients use
     * it, whose retries must not keep the target from running others'.
     */
    private List<WindowedRetryBudget> calledBudgets() {
        return retryBudgets.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(settings.target().service()))
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Returns this node's part of the constant of the retry limit; none while it knows no other node to share it with. */
    private double retryPart() {
        int members = fleetSize.getAsInt();
        return members < 2 ? 0 : retryLimit.floor() * RETRY_CONSTANT_SHARE / members;
    }

    // -- commands

    /** Refuses requests that wait for the local target with a key that the version in force has removed. */
    void refuseRemovedKeys() {
        guard.refuseRemovedKeys();
    }

    /** Returns the handler of clients' requests. */
    RequestHandler serve(Supplier<RouteIndex> routes, BooleanSupplier isReady, VersionCheck versionCheck) {
        guard.checkKeysBy(routes);
        entry = MeshEntry.of(
                routes,
                isReady,
                versionCheck,
                authenticator(versionCheck),
                PlatformProtocolAdapter.instance(),
                entryDependencies);
        explainer = PlacementExplainer.of(
                routes, isReady, authenticator(versionCheck), settings.locality(), placement, entryDependencies);
        return entry;
    }

    private Authenticator authenticator(VersionCheck versionCheck) {
        return settings.mesh()
                .flatMap(NodeSettings.Mesh::organisations)
                .filter(NodeSettings.Organisations::isFailClosed)
                .map(organisations ->
                        Authenticator.failClosed(organisations.revocation().duration(), versionCheck::confirmationAge))
                .orElseGet(Authenticator::failOpen);
    }

    /** Binds the listeners for clients and for other nodes. */
    Either<ListenerFailure, MeshDataPlane> listen(
            Supplier<RouteIndex> routes, BooleanSupplier isReady, VersionCheck versionCheck) {
        RequestHandler clientHandler = noting(serve(routes, isReady, versionCheck));
        Address caller = settings.listen().caller();
        Address peer = settings.listen().peer();
        ListenerLimits limits = new ListenerLimits(
                MAXIMUM_CLIENT_CONNECTIONS,
                CLIENT_IDLE_TIMEOUT,
                MAXIMUM_CLIENT_LINE_BYTES,
                MAXIMUM_CLIENT_HEADERS,
                DISCONNECT_WATCH_DELAY);
        return HttpListener.start(caller.host(), caller.port(), clientHandler, limits, bodyBudget)
                .peek(listener -> callerListener = listener)
                .flatMap(_ -> HttpListener.start(peer.host(), peer.port(), noting(guard), limits, bodyBudget))
                .peek(listener -> peerListener = listener)
                .map(_ -> this);
    }

    private RequestHandler noting(RequestHandler handler) {
        return request -> {
            isUsed = true;
            return handler.handle(request);
        };
    }

    /** Starts the periodic tasks. */
    void start(PeriodicTasks tasks) {
        tasks.runEvery(HEARTBEAT_CHECK_INTERVAL_MILLISECONDS, target::checkHeartbeatTimeout);
        tasks.runEvery(IDLE_CHECK_INTERVAL_MILLISECONDS, () -> {
            runtime.peers().closeIdleConnections(IDLE_CONNECTION_TIMEOUT);
            runtime.target().closeIdleConnections(IDLE_CONNECTION_TIMEOUT);
        });
    }

    /** Replaces the retry limit; the retry budgets of all services start anew. */
    void updateRetryLimit(NodeSettings.RetryLimit limit) {
        retryLimit = Objects.requireNonNull(limit, "limit is null");
        retriesKnownSinceNanoseconds = runtime.nanoseconds().getAsLong();
        retryBudgets.clear();
    }

    /** Merges what another node knows of what the targets ask of the nodes. */
    void mergeConditions(List<TargetCondition> received) {
        for (TargetCondition condition : received) {
            if (condition.node().equals(settings.node())) {
                target.mergeCondition(condition);
            } else {
                conditions.merge(condition);
            }
        }
    }

    /** Records the load that another node reported. */
    void recordLoad(NodeId node, LoadReport report) {
        loadTracker.recordReport(node, report);
    }

    /**
     * Forgets the load of an unreachable node and cancels the attempts that wait for it.
     *
     * @param hasLeft whether the node announced that it leaves
     */
    void removePeer(NodeId node, boolean hasLeft) {
        if (hasLeft) {
            conditions.remove(node);
            crashMonitor.leaveNode(node);
        } else {
            crashMonitor.endNode(node);
        }
        loadTracker.remove(node);
        if (entry != null) {
            entry.cancelAttempts(node);
        }
    }

    /**
     * Closes connections after their current response and drains the target, so that new requests go elsewhere.
     *
     * @param endNanoseconds when the node ends, as a value of its clock
     */
    void beginDrain(long endNanoseconds) {
        entry.stop(EntryStop.between(runtime.nanoseconds().getAsLong(), endNanoseconds));
        callerListener.disableKeepAlive();
        peerListener.disableKeepAlive();
        target.drain();
    }

    /**
     * Completes clients' requests, then those of other nodes; returns whether all completed in time.
     *
     * @param endNanoseconds the deadline, as a value of {@link System#nanoTime}
     */
    boolean drain(long endNanoseconds) {
        boolean areCallersDone = callerListener.drain(remaining(endNanoseconds));
        boolean arePeersDone = peerListener.drain(remaining(endNanoseconds));
        return areCallersDone && arePeersDone;
    }

    @Override
    public void close() {
        if (callerListener != null) {
            callerListener.close();
        }
        if (peerListener != null) {
            peerListener.close();
        }
        runtime.peers().close();
        runtime.target().close();
        runtime.timers().shutdownNow();
    }

    private static Duration remaining(long endNanoseconds) {
        return Duration.ofNanos(Math.max(0, endNanoseconds - System.nanoTime()));
    }
}
