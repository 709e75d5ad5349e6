package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.oleanderturn.membership.GossipSettings;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OperatorPaths;
import org.oleanderturn.platform.PlatformProtocolAdapter;
import org.oleanderturn.platform.PlatformStore;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.store.RateLimitedStore;
import org.oleanderturn.store.StoreSettings;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.wire.FrameClient;
import org.oleanderturn.wire.FrameServer;
import org.oleanderturn.wire.ListenAddress;
import org.oleanderturn.wire.WireLimits;

/**
 * A running node on the users' platform.
 *
 * <p>Invariants: it is ready only with a configuration and once it has tried to find the other nodes; it stops once; a
 * graceful stop finishes what is in flight. Thread safe.
 */
public final class MeshNode {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** The longest waits for a connection to the store and for its answer; its usual answer takes milliseconds. */
    private static final Duration STORE_CONNECT_TIMEOUT = Duration.ofMillis(400);

    private static final Duration STORE_ANSWER_TIMEOUT = Duration.ofSeconds(1);

    /** Seconds' worth of store calls that a node may make at once. */
    private static final int BURST_SECONDS = 2;

    /** How long a stopping node goes on taking requests: clients turn away after two checks of its readiness. */
    private static final Duration TURNING_AWAY = Duration.ofMillis(2_600);

    /** Kept of the time before the kill, to end in order. */
    private static final Duration LAST_STEPS = Duration.ofMillis(500);

    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final long LOG_CLOSE_MILLISECONDS = 300;
    /** How often a node tells its load: a few times in the course of a request. */
    private static final long LOAD_PAUSE_MILLISECONDS = 200;

    /** One in so many tellings goes to other regions too: the link is paid for, and answers carry the load as well. */
    private static final long TELLINGS_TO_OTHER_REGIONS = 15;

    /** Bounds what a node sends to a hundred messages a second, whatever the fleet's size. */
    private static final long LOAD_PAUSE_MILLISECONDS_PER_PEER = 10;

    private static final long MEMBERS_PAUSE_MILLISECONDS = 250;

    private final NodeSettings settings;
    private final NodeSettings.Mesh mesh;
    private final LogWriter writer;
    private final Loops loops = new Loops();
    private final FrameClient frames = FrameClient.of(WireLimits.defaults());
    private final PlatformStore store;
    private final RateLimitedStore budgeted;
    private final ControlPlane control;
    private final OperatorWatch operators;
    private final MeshDataPlane data;
    private final AtomicReference<RouteIndex> routes = new AtomicReference<>(RouteIndex.empty());
    private final AtomicBoolean isStopping = new AtomicBoolean();
    private final NodeMetrics metrics = new NodeMetrics();
    private final ControlChannel channel;
    private Set<NodeId> reachable = Set.of();
    private LoadReport told = new LoadReport(0, 0, 0, 0);
    private LoadReport toldToAll = new LoadReport(0, 0, 0, 0);
    private long tellings;
    private final List<HttpListener> listeners = new ArrayList<>();
    private FrameServer controlServer;

    private MeshNode(NodeSettings settings, NodeSettings.Mesh mesh, LogWriter writer) {
        this.settings = settings;
        this.mesh = mesh;
        this.writer = writer;
        this.store = PlatformStore.of(StoreSettings.of(settings.platform().address())
                .withTimeouts(STORE_CONNECT_TIMEOUT, STORE_ANSWER_TIMEOUT));
        int callsPerSecond = settings.platform().callsPerSecond();
        this.budgeted = RateLimitedStore.of(store, callsPerSecond, callsPerSecond * BURST_SECONDS, System::nanoTime);
        LongSupplier milliseconds = MonotonicClock.start();
        this.channel = ControlChannel.of(
                frames::call, loops.executor(), settings.listen().control());
        this.control = new ControlPlane(
                settings,
                budgeted,
                channel,
                milliseconds,
                GossipSettings.fastDetection(),
                (_, directory) -> ZoneLeadership.of(settings.node(), settings.locality(), directory),
                () -> {
                    // The members are reviewed by a loop, so that nothing is called under the protocol's feet.
                });
        this.operators =
                new OperatorWatch(budgeted, control.holder(), control.floor(), control.role(), SharedRandom.create());
        this.data = new MeshDataPlane(
                settings,
                mesh,
                () -> control.gossip().table().endpointView(),
                () -> control.gossip().table().reachablePeers().size() + 1,
                MeshMetrics.of(new JsonDecisionLog(settings.node(), writer, System::currentTimeMillis), metrics));
    }

    /** Starts a node; when an address can't be listened on, nothing is left running. */
    public static Either<NodeFailure, MeshNode> start(NodeSettings settings, LogWriter writer) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(writer, "writer is null");
        NodeSettings.Mesh mesh =
                settings.mesh().orElseThrow(() -> new IllegalArgumentException("the settings have no section mesh"));
        MeshNode node = new MeshNode(settings, mesh, writer);
        Either<NodeFailure, MeshNode> started = node.listen();
        started.peek(MeshNode::run);
        started.peekLeft(_ -> node.closeAll());
        return started;
    }

    // -- queries

    private boolean isServing() {
        return control.recovery().isReady() && !control.holder().version().equals(ConfigurationVersion.none());
    }

    private Response answer(InboundRequest request) {
        if (PlatformProtocolAdapter.instance().isReadinessCheck(request)) {
            boolean isReady = isServing() && !isStopping.get();
            return Response.text(isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n");
        }
        return Response.text(404, "text/plain", "not found\n");
    }

    private Response observe(InboundRequest request) {
        return switch (request.path()) {
            case OperatorPaths.METRICS -> Response.text(200, METRICS_TYPE, metrics.text());
            case OperatorPaths.STATE -> Response.json(200, state());
            default -> Response.text(404, "text/plain", "not found\n");
        };
    }

    private MeshState state() {
        return new MeshState(
                isServing(),
                control.holder().status(),
                operators.failure().map(Object::toString),
                data.target().status(),
                data.target().state(),
                data.load(),
                control.gossip().table().records(),
                writer.dropped());
    }

    private void registerGauges() {
        metrics.gauge("oleanderturn_ready", "1 when the node answers clients.", () -> isServing() ? 1 : 0);
        metrics.gauge(
                "oleanderturn_configuration_version",
                "The configuration in force.",
                () -> control.holder().version().number());
        metrics.gauge(
                "oleanderturn_store_lost",
                "1 when the platform's store can't be read.",
                () -> operators.failure().isPresent() ? 1 : 0);
        metrics.gauge(
                "oleanderturn_members_reachable",
                "Other nodes that can be reached.",
                () -> control.gossip().table().reachablePeers().size());
        metrics.gauge(
                "oleanderturn_target_slots",
                "Slots of the local target, 0 when closed.",
                () -> data.load().slots());
        metrics.gauge(
                "oleanderturn_target_running",
                "Requests on the local target.",
                () -> data.load().running());
        metrics.gauge(
                "oleanderturn_target_waiting",
                "Requests that wait for it.",
                () -> data.load().waiting());
        metrics.counter("oleanderturn_log_lines_dropped_total", "Log lines that were dropped.", writer::dropped);
    }

    // -- commands

    /**
     * Stops gracefully: says that it is not ready, goes on serving until clients have turned away, finishes what is in
     * flight, and leaves.
     *
     * @return whether everything in flight was finished
     */
    public boolean stop() {
        if (!isStopping.compareAndSet(false, true)) {
            return true;
        }
        long end =
                System.nanoTime() + mesh.stopTime().duration().minus(LAST_STEPS).toNanos();
        log.atInfo().log("stopping");
        data.shed();
        control.gossip().announceState(EndpointState.DRAINING);
        LockSupport.parkNanos(TURNING_AWAY.toNanos());
        boolean isFinished = data.drain(end);
        control.leave();
        log.atInfo().log("stopped, everything in flight finished: %s", isFinished);
        closeAll();
        writer.close(LOG_CLOSE_MILLISECONDS);
        return isFinished;
    }

    /** Takes over settings that changed; those that need another start are logged. */
    void reload(NodeSettings changed) {
        Optional<NodeSettings.Mesh> next = changed.mesh();
        if (next.isEmpty()) {
            log.atWarning().log("settings without section mesh are not taken over");
            return;
        }
        data.limitRepeats(next.get().repeats());
        boolean isSame = changed.listen().equals(settings.listen())
                && changed.target().equals(settings.target())
                && changed.node().equals(settings.node());
        log.atInfo().log("settings are taken over; a start is needed for some: %s", !isSame);
    }

    /** Runs something again and again while the node runs; each run says how long to pause, in milliseconds. */
    void repeat(LongSupplier work) {
        loops.repeat(work);
    }

    // -- start

    private Either<NodeFailure, MeshNode> listen() {
        Address address = settings.listen().control();
        return FrameServer.start(ListenAddress.of(address), controlHandler(), WireLimits.defaults())
                .peek(server -> controlServer = server)
                .mapLeft(failure -> (NodeFailure) new NodeFailure.ListenFailed(address.toString(), failure.toString()))
                .flatMap(_ -> listenHttp());
    }

    private Either<NodeFailure, MeshNode> listenHttp() {
        Address ready = settings.listen().operator();
        Address calls = mesh.targetCalls();
        Address watched = mesh.metrics();
        ListenerLimits limits = ListenerLimits.defaults();
        return HttpListener.start(ready.host(), ready.port(), this::answer, limits)
                .peek(listeners::add)
                .flatMap(_ -> HttpListener.start(calls.host(), calls.port(), data.targetCalls(), limits))
                .peek(listeners::add)
                .flatMap(_ -> HttpListener.start(watched.host(), watched.port(), this::observe, limits))
                .peek(listeners::add)
                .flatMap(_ -> data.listen(routes::get, this::isServing))
                .mapLeft(MeshNode::listenFailed)
                .map(_ -> this);
    }

    private ControlHandler controlHandler() {
        CrashQuarantine quarantine = CrashQuarantine.of(settings.node(), MonotonicClock.start(), SharedRandom.create());
        DrainControl drains = new DrainControl(
                settings.node(), data.target()::drain, data.target()::undrain, data.target()::state, control.gossip());
        return new ControlHandler(
                settings.node(),
                control.gossip(),
                control.spreader(),
                control.recovery(),
                drains,
                quarantine,
                data::report,
                System::currentTimeMillis);
    }

    private void run() {
        data.target().onStateChange(control.gossip()::announceState);
        control.holder().addListener(snapshot -> routes.set(RouteIndex.of(snapshot)));
        registerGauges();
        data.start(loops);
        control.start(loops, operators::runOnce, () -> {});
        loops.every(MEMBERS_PAUSE_MILLISECONDS, this::reviewMembers);
        loops.repeat(this::tellLoad);
        log.atInfo().log("node %s started in %s", settings.node(), settings.locality());
    }

    // -- events

    /** Gives up what waits for nodes that can't be reached any more. */
    private void reviewMembers() {
        Set<NodeId> now = control.gossip().table().reachablePeers().stream()
                .map(MemberRecord::node)
                .collect(Collectors.toSet());
        Set<NodeId> lost = new HashSet<>(reachable);
        lost.removeAll(now);
        for (NodeId node : lost) {
            log.atWarning().log("node %s can't be reached", node);
            data.peerLost(node);
        }
        Set<NodeId> found = new HashSet<>(now);
        found.removeAll(reachable);
        found.forEach(node -> log.atInfo().log("node %s is reached", node));
        reachable = now;
    }

    /** Tells the nodes that send here how full the target is; returns how long to pause, in milliseconds. */
    private long tellLoad() {
        LoadReport load = data.load();
        List<MemberRecord> peers = control.gossip().table().reachablePeers();
        tellings++;
        boolean isForAll = tellings % TELLINGS_TO_OTHER_REGIONS == 0;
        boolean isTold = isForAll ? load.isSimilarTo(toldToAll) : load.isSimilarTo(told);
        if (!isTold) {
            told = load;
            toldToAll = isForAll ? load : toldToAll;
            List<Address> receivers = peers.stream()
                    .filter(peer -> isForAll || peer.locality().region().equals(settings.region()))
                    .map(MemberRecord::controlAddress)
                    .toList();
            channel.tellLoad(receivers, settings.node(), load);
        }
        return Math.max(LOAD_PAUSE_MILLISECONDS, peers.size() * LOAD_PAUSE_MILLISECONDS_PER_PEER);
    }

    // -- end

    private void closeAll() {
        loops.close();
        data.close();
        listeners.forEach(HttpListener::close);
        if (controlServer != null) {
            controlServer.close();
        }
        frames.close();
        store.close();
    }

    private static NodeFailure listenFailed(ListenerFailure failure) {
        return switch (failure) {
            case ListenerFailure.BindFailed listen -> new NodeFailure.ListenFailed(listen.address(), listen.reason());
        };
    }
}
