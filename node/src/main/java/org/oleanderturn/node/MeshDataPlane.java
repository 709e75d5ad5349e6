package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.mesh.DecisionLog;
import org.oleanderturn.mesh.GuardClient;
import org.oleanderturn.mesh.LocalTarget;
import org.oleanderturn.mesh.MeshEntry;
import org.oleanderturn.mesh.MeshEntryDependencies;
import org.oleanderturn.mesh.MeshGuard;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.mesh.TargetCallHandler;
import org.oleanderturn.mesh.TargetHealthCheck;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.PlatformProtocolAdapter;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.traffic.ExchangeSizes;
import org.oleanderturn.traffic.LeastLatencyBalancer;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.SlotQueue;
import org.oleanderturn.traffic.TargetLoadTracker;
import org.oleanderturn.traffic.WindowedRetryBudget;

/**
 * A node's part in serving requests on the users' platform: the entry, the guard and the local target's life.
 *
 * <p>Invariant: the parts are wired once and never replaced. Thread safe.
 */
final class MeshDataPlane implements AutoCloseable {
    private static final int CONNECTIONS_PER_PEER = 512;

    /** How many of its heartbeats a target may miss before it is taken to be gone; they may come seconds late. */
    private static final int MISSED_HEARTBEATS = 5;

    /** The share of the fleet's bound on repeats that is used, as windows slide and nodes come and go. */
    private static final double USED_SHARE = 0.7;

    private static final long REVIEW_PAUSE_MILLISECONDS = 500;
    private static final long IDLE_PAUSE_MILLISECONDS = 2_000;
    private static final Duration IDLE_CONNECTION = Duration.ofSeconds(8);

    /** How long a client's connection may stand idle: longer than any configuration lets clients reuse one. */
    private static final Duration CLIENT_IDLE = Duration.ofMinutes(10);

    /** Most requests are over by then; the rest still end within half a second of their client's departure. */
    private static final Duration WATCH_DELAY = Duration.ofMillis(150);

    private static final int CLIENT_LINE_BYTES = 65_536;
    private static final int CLIENT_HEADERS = 256;
    private static final int CLIENT_CONNECTIONS = 2_500;

    private final NodeSettings settings;
    private final IntSupplier fleetSize;
    private final LongSupplier nanoseconds = System::nanoTime;
    private final UpstreamClient client = UpstreamClient.of(CONNECTIONS_PER_PEER);
    private final UpstreamClient targetClient = UpstreamClient.of(CONNECTIONS_PER_PEER);
    private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(
            1, Thread.ofPlatform().daemon().name("timers").factory());
    private final ConcurrentHashMap<ServiceName, WindowedRetryBudget> repeats = new ConcurrentHashMap<>();
    private final TargetLoadTracker board;
    private final LocalTarget target;
    private final MeshGuard guard;
    private final MeshEntryDependencies parts;
    private volatile NodeSettings.Repeats repeatLimit;
    private HttpListener callers;
    private HttpListener peers;
    private MeshEntry entry;

    MeshDataPlane(
            NodeSettings settings,
            NodeSettings.Mesh mesh,
            Supplier<EndpointView> endpoints,
            IntSupplier fleetSize,
            DecisionLog decisions) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(mesh, "mesh is null");
        // Nearly every deadline is cancelled long before it is due; kept, each would wake the thread for nothing.
        timers.setRemoveOnCancelPolicy(true);
        this.repeatLimit = mesh.repeats();
        this.fleetSize = Objects.requireNonNull(fleetSize, "fleetSize is null");
        RandomGenerator random = SharedRandom.create();
        SlotQueue slots = SlotQueue.of(nanoseconds);
        Duration longestSilence = mesh.heartbeat().duration().multipliedBy(MISSED_HEARTBEATS);
        ServiceName service = settings.target().service();
        this.target = LocalTarget.of(service, slots, longestSilence, nanoseconds);
        this.guard = MeshGuard.of(
                settings.target().address(),
                target,
                slots,
                targetClient,
                PlatformProtocolAdapter.instance(),
                decisions,
                nanoseconds);
        this.board = TargetLoadTracker.of(nanoseconds);
        this.parts = new MeshEntryDependencies(
                service,
                endpoints,
                LeastLatencyBalancer.of(board, settings.locality(), nanoseconds, random),
                board,
                ExchangeSizes.empty(),
                this::budget,
                GuardClient.of(settings.node(), guard, client, board),
                timers,
                decisions,
                nanoseconds,
                random);
    }

    // -- parts

    LocalTarget target() {
        return target;
    }

    TargetCallHandler targetCalls() {
        PlatformProtocolAdapter dialect = PlatformProtocolAdapter.instance();
        TargetHealthCheck check = TargetHealthCheck.of(settings.target().address(), targetClient, dialect);
        return TargetCallHandler.of(dialect, target, check);
    }

    /** Returns the load of the local target. */
    LoadReport load() {
        return guard.load();
    }

    private WindowedRetryBudget budget(ServiceName service) {
        return repeats.computeIfAbsent(
                service,
                _ -> WindowedRetryBudget.of(
                        repeatLimit.ratio() * USED_SHARE,
                        repeatLimit.floor() * USED_SHARE / Math.max(1, fleetSize.getAsInt()),
                        repeatLimit.window().duration().toNanos(),
                        nanoseconds));
    }

    // -- commands

    /** Starts to listen for clients and for other nodes. */
    Either<ListenerFailure, MeshDataPlane> listen(Supplier<RouteIndex> routes, BooleanSupplier isReady) {
        entry = MeshEntry.of(routes, isReady, PlatformProtocolAdapter.instance(), parts);
        Address caller = settings.listen().caller();
        Address peer = settings.listen().peer();
        ListenerLimits limits =
                new ListenerLimits(CLIENT_CONNECTIONS, CLIENT_IDLE, CLIENT_LINE_BYTES, CLIENT_HEADERS, WATCH_DELAY);
        return HttpListener.start(caller.host(), caller.port(), entry, limits)
                .peek(listener -> callers = listener)
                .flatMap(_ -> HttpListener.start(peer.host(), peer.port(), guard, limits))
                .peek(listener -> peers = listener)
                .map(_ -> this);
    }

    void start(Loops loops) {
        loops.every(REVIEW_PAUSE_MILLISECONDS, target::checkHeartbeatTimeout);
        loops.every(IDLE_PAUSE_MILLISECONDS, () -> {
            client.closeIdleConnections(IDLE_CONNECTION);
            targetClient.closeIdleConnections(IDLE_CONNECTION);
        });
    }

    /** Takes over another bound on repeats. */
    void limitRepeats(NodeSettings.Repeats limit) {
        repeatLimit = Objects.requireNonNull(limit, "limit is null");
        repeats.clear();
    }

    /** Notes another node's load. */
    void report(NodeId node, LoadReport report) {
        board.recordReport(node, report);
    }

    void peerLost(NodeId node) {
        board.remove(node);
        if (entry != null) {
            entry.cancelAttempts(node);
        }
    }

    /** Lets clients and other nodes move elsewhere: new work for the target is refused. */
    void shed() {
        callers.disableKeepAlive();
        peers.disableKeepAlive();
        target.drain();
    }

    /** Finishes what clients sent, then what other nodes sent; returns whether all was finished by the given time. */
    boolean drain(long endNanoseconds) {
        boolean areCallersDone = callers.drain(left(endNanoseconds));
        boolean arePeersDone = peers.drain(left(endNanoseconds));
        return areCallersDone && arePeersDone;
    }

    @Override
    public void close() {
        if (callers != null) {
            callers.close();
        }
        if (peers != null) {
            peers.close();
        }
        client.close();
        targetClient.close();
        timers.shutdownNow();
    }

    private static Duration left(long endNanoseconds) {
        return Duration.ofNanos(Math.max(0, endNanoseconds - System.nanoTime()));
    }
}
