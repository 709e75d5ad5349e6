package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.oleanderturn.distribution.VersionEvent;
import org.oleanderturn.distribution.VersionOrigin;
import org.oleanderturn.membership.GossipSettings;
import org.oleanderturn.membership.Liveness;
import org.oleanderturn.mesh.DecisionLog;
import org.oleanderturn.model.Address;
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
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.wire.FrameClient;
import org.oleanderturn.wire.FrameServer;
import org.oleanderturn.wire.ListenAddress;
import org.oleanderturn.wire.WireLimits;

/**
 * A running node on the users' platform.
 *
 * <p>Invariants: the node is ready only when it holds a configuration and has tried to join the other nodes; it stops at
 * most once; a graceful stop completes the requests in flight. Thread safe.
 */
public final class MeshNode implements AutoCloseable {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** How long a stopping node still accepts requests: clients leave it after two failed readiness checks. */
    private static final Duration CLIENT_DEPARTURE_DELAY = Duration.ofMillis(2_600);

    /** Part of the stop time that is reserved for leaving the mesh and closing, before the platform kills the process. */
    private static final Duration SHUTDOWN_RESERVE = Duration.ofMillis(500);

    private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final long LOG_CLOSE_TIMEOUT_MILLISECONDS = 300;

    private static final long MEMBER_REVIEW_INTERVAL_MILLISECONDS = 250;

    /** How often a node makes up for lost messages about targets and the requests under which they ended. */
    private static final long COMPARISON_INTERVAL_MILLISECONDS = 2_000;

    private final NodeSettings settings;
    private final NodeSettings.Mesh mesh;
    private final LogWriter writer;
    private final PeriodicTasks tasks = new PeriodicTasks();
    private final FrameClient frames = FrameClient.of(WireLimits.defaults());
    private final PlatformStore store;
    private final RateLimitedStore rateLimitedStore;
    private final ControlPlane control;
    private final MeshConfiguration configuration;
    private final RequestLimitObserver limitObserver;
    private final SharedRequestLimiter limiter;
    private final NodeRollouts rollouts;
    private final MeshDataPlane data;
    private final AtomicBoolean isStopping = new AtomicBoolean();
    private final NodeMetrics metrics = new NodeMetrics();
    private final ControlChannel channel;
    private final VersionJournal versions;
    private final SuspicionExchange suspicions;
    private final SuspicionStore suspicionStore;
    private final ConditionExchange conditions;
    private final PeerReview peerReview;
    private final LoadAnnouncer loadAnnouncer;
    private final TargetMessages targetMessages;
    private final ControlHandler controlHandler;
    private final List<HttpListener> listeners = new ArrayList<>();
    private FrameServer controlServer;

    private MeshNode(NodeSettings settings, NodeSettings.Mesh mesh, LogWriter writer) {
        this.settings = settings;
        this.mesh = mesh;
        this.writer = writer;
        this.store = MeshStore.open(settings.platform());
        this.rateLimitedStore = MeshStore.limited(store, settings.platform());
        LongSupplier milliseconds = MonotonicClock.start();
        this.channel = ControlChannel.of(
                frames::call, tasks.executor(), settings.listen().control());
        this.versions = versionJournal(milliseconds);
        this.control = controlPlane(milliseconds);
        this.configuration = meshConfiguration();
        this.limitObserver = new RequestLimitObserver(settings.node(), writer, System::currentTimeMillis);
        this.limiter = SharedRequestLimiter.of(settings, control, configuration, channel, limitObserver);
        this.rollouts = NodeRollouts.of(
                settings.node(), mesh.rollouts(), control.gossip(), rateLimitedStore, channel, this::countMembers);
        this.data = new MeshDataPlane(
                settings,
                mesh,
                () -> control.gossip().table().endpointView(),
                this::countMembers,
                rollouts.placement(),
                decisionLog(),
                limiter,
                DataPlaneRuntime.ofProcess());
        this.suspicions = suspicionExchange();
        this.suspicionStore = suspicionStore();
        this.conditions = conditionExchange();
        this.peerReview =
                new PeerReview(() -> control.gossip().table().reachablePeers(), this::hasLeft, data, this::compareWith);
        this.loadAnnouncer = loadAnnouncer();
        this.targetMessages = new TargetMessages(data);
        this.controlHandler = controlHandler();
    }

    private ControlPlane controlPlane(LongSupplier milliseconds) {
        return new ControlPlane(
                settings,
                rateLimitedStore,
                channel,
                milliseconds,
                GossipSettings.fastDetection(),
                (_, directory) -> ZoneLeadership.of(settings.node(), settings.locality(), directory),
                () -> {
                    // A periodic task reviews the members, so the gossip protocol never calls back into the node.
                },
                versions);
    }

    private MeshConfiguration meshConfiguration() {
        return new MeshConfiguration(
                settings,
                control.configuration(),
                control.directory(),
                control.role(),
                rateLimitedStore,
                channel,
                control::isFleetRunning,
                System::nanoTime,
                Thread::sleep,
                SharedRandom.create());
    }

    private VersionJournal versionJournal(LongSupplier milliseconds) {
        return new VersionJournal(
                settings.node(), writer, metrics, this::nameOf, System::currentTimeMillis, milliseconds);
    }

    private DecisionLog decisionLog() {
        return MeshMetrics.of(
                new JsonDecisionLog(
                        settings.node(),
                        writer,
                        versions.tracker(),
                        configuration::confirmationAge,
                        System::currentTimeMillis),
                metrics,
                node -> control.gossip()
                        .table()
                        .record(node)
                        .map(member -> settings.locality().distanceTo(member.locality())));
    }

    private SuspicionExchange suspicionExchange() {
        return new SuspicionExchange(
                settings.locality(),
                data.crashLedger(),
                channel,
                () -> control.gossip().table().reachablePeers(),
                tasks.executor(),
                SharedRandom.create());
    }

    private ConditionExchange conditionExchange() {
        return new ConditionExchange(
                data,
                channel,
                () -> control.gossip().table().reachablePeers(),
                tasks.executor(),
                SharedRandom.create());
    }

    private LoadAnnouncer loadAnnouncer() {
        return new LoadAnnouncer(
                settings.node(),
                settings.region(),
                mesh.chosenPlacement(),
                data::load,
                () -> control.gossip().table().reachablePeers(),
                channel);
    }

    /** Returns the slot of a relay; none while this node may only not know the others yet. */
    private OptionalInt relaySlot(long nowMilliseconds) {
        return configuration.watcher().isSearchingRelay()
                ? OptionalInt.empty()
                : control.role().slot(nowMilliseconds);
    }

    private SuspicionStore suspicionStore() {
        return new SuspicionStore(
                rateLimitedStore,
                data.crashLedger(),
                this::relaySlot,
                suspicions::publish,
                System::currentTimeMillis,
                SharedRandom.create());
    }

    /**
     * Starts a node.
     *
     * @return the running node, or why an address could not be bound, in which case nothing is left running
     * @throws IllegalArgumentException when the settings have no section {@code mesh}
     */
    public static Either<NodeFailure, MeshNode> start(NodeSettings settings, LogWriter writer) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(writer, "writer is null");
        NodeSettings.Mesh mesh =
                settings.mesh().orElseThrow(() -> new IllegalArgumentException("the settings have no section mesh"));
        MeshNode node = new MeshNode(settings, mesh, writer);
        Either<NodeFailure, MeshNode> started = node.listen();
        started.peek(MeshNode::run);
        started.peekLeft(_ -> node.close());
        return started;
    }

    // -- queries

    /** Returns the number of nodes that have not left, this one included; those that are cut off go on serving. */
    private int countMembers() {
        return Math.toIntExact(control.gossip().table().records().stream()
                .filter(record -> record.liveness() != Liveness.LEFT)
                .count());
    }

    private Response handleReadinessCheck(InboundRequest request) {
        if (PlatformProtocolAdapter.instance().isReadinessCheck(request)) {
            boolean isReady = configuration.isServing() && !isStopping.get();
            return Response.text(isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n");
        }
        return Response.text(404, "text/plain", "not found\n");
    }

    private Response handleObservability(InboundRequest request) throws IOException {
        return switch (request.path()) {
            case OperatorPaths.METRICS -> Response.text(200, METRICS_CONTENT_TYPE, metrics.text());
            case OperatorPaths.STATE -> Response.json(200, state());
            case OperatorPaths.PLACEMENT -> new PlacementHandler(data::explainer).handle(request);
            default -> Response.text(404, "text/plain", "not found\n");
        };
    }

    private MeshState state() {
        return new MeshState(
                configuration.isServing(),
                control.holder().status(),
                configuration.watcher().failure().map(Object::toString),
                configuration.watcher().unreadable(),
                configuration.watcher().unknownWords(),
                data.target().status(),
                data.target().state(),
                data.load(),
                control.gossip().table().records(),
                data.crashLedger().suspicions(),
                data.conditions().known(),
                writer.dropped());
    }

    // -- commands

    /**
     * Stops gracefully: reports that it is not ready, serves until clients have gone elsewhere, completes the requests in
     * flight, and leaves the mesh. Blocks until then; a second call has no effect and returns true.
     *
     * @return whether all requests in flight were completed
     */
    public boolean stop() {
        if (!isStopping.compareAndSet(false, true)) {
            return true;
        }
        long end = System.nanoTime()
                + mesh.stopTime().duration().minus(SHUTDOWN_RESERVE).toNanos();
        log.atInfo().log("stopping");
        data.beginDrain(end);
        control.gossip().announceState(EndpointState.DRAINING);
        LockSupport.parkNanos(CLIENT_DEPARTURE_DELAY.toNanos());
        boolean isCompleted = data.drain(end);
        control.leave();
        log.atInfo().log("stopped; all requests in flight completed: %s", isCompleted);
        close();
        writer.close(LOG_CLOSE_TIMEOUT_MILLISECONDS);
        return isCompleted;
    }

    /** Applies the retry limit of changed settings; logs whether other changes take effect only after a restart. */
    void reload(NodeSettings changed) {
        Optional<NodeSettings.Mesh> next = changed.mesh();
        if (next.isEmpty()) {
            log.atWarning().log("changed settings ignored: section mesh is missing");
            return;
        }
        data.updateRetryLimit(next.get().repeats());
        boolean isUnaffected = changed.listen().equals(settings.listen())
                && changed.target().equals(settings.target())
                && changed.node().equals(settings.node());
        log.atInfo().log("settings reloaded; restart required for some changes: %s", !isUnaffected);
    }

    /** Runs a task repeatedly until the node stops; each run returns the delay before the next, in milliseconds. */
    void runRepeatedly(LongSupplier task) {
        tasks.runRepeatedly(task);
    }

    // -- start

    private Either<NodeFailure, MeshNode> listen() {
        Address address = settings.listen().control();
        return FrameServer.start(ListenAddress.of(address), controlHandler, WireLimits.defaults())
                .peek(server -> controlServer = server)
                .mapLeft(failure -> (NodeFailure) new NodeFailure.BindFailed(address.toString(), failure.toString()))
                .flatMap(_ -> listenHttp());
    }

    private Either<NodeFailure, MeshNode> listenHttp() {
        Address readinessAddress = settings.listen().operator();
        Address targetCallAddress = mesh.targetCalls();
        Address metricsAddress = mesh.metrics();
        ListenerLimits limits = ListenerLimits.defaults();
        return HttpListener.start(readinessAddress.host(), readinessAddress.port(), this::handleReadinessCheck, limits)
                .peek(listeners::add)
                .flatMap(_ -> HttpListener.start(
                        targetCallAddress.host(), targetCallAddress.port(), data.targetCallHandler(), limits))
                .peek(listeners::add)
                .flatMap(_ -> HttpListener.start(
                        metricsAddress.host(), metricsAddress.port(), this::handleObservability, limits))
                .peek(listeners::add)
                .flatMap(
                        _ -> data.listen(configuration::routes, configuration::isServing, configuration.versionCheck()))
                .mapLeft(MeshNode::bindFailure)
                .map(_ -> this);
    }

    private ControlHandler controlHandler() {
        CrashQuarantine quarantine = CrashQuarantine.of(settings.node(), MonotonicClock.start(), SharedRandom.create());
        DrainController drainController = new DrainController(
                settings.node(), data.target()::drain, data.target()::undrain, data.target()::state, control.gossip());
        return new ControlHandler(
                settings.node(),
                control.gossip(),
                control.disseminator(),
                control.recovery(),
                drainController,
                quarantine,
                this::answerOther,
                System::currentTimeMillis);
    }

    private ControlMessage answerOther(ControlMessage message) {
        return switch (message) {
            case ControlMessage.AskRelay question -> configuration.answer(question);
            case ControlMessage.Take taking -> new ControlMessage.Taken(limiter.answer(taking.request()));
            case ControlMessage.RolloutReports reports -> rollouts.answer(reports);
            default -> targetMessages.answer(message);
        };
    }

    private void run() {
        data.target().onStateChange(rollouts.announcer(data.target()));
        rollouts.start(tasks, metrics);
        MeshGauges gauges = MeshGauges.of(metrics, control, configuration.watcher(), data, writer);
        gauges.register(configuration::isServing);
        gauges.registerStoreCalls(rateLimitedStore::counters);
        gauges.registerTraffic(channel.traffic(), controlHandler.traffic());
        limitObserver.register(metrics, limiter.coordinator());
        data.crashMonitor().onChange(suspicions::publish);
        data.crashMonitor().onAgreedTrial(suspicionStore::claimTrial);
        data.crashMonitor().onTrial(new SuspicionReplicator(suspicions, suspicionStore));
        data.start(tasks);
        control.startMembership(tasks);
        configuration.start(tasks, control.gossip()::advanceHeldVersion, data::refuseRemovedKeys);
        tasks.runEvery(MEMBER_REVIEW_INTERVAL_MILLISECONDS, peerReview::run);
        tasks.runEvery(MEMBER_REVIEW_INTERVAL_MILLISECONDS, this::recordNewestVersion);
        tasks.runRepeatedly(loadAnnouncer::run);
        tasks.runRepeatedly(limiter::run);
        tasks.runEvery(COMPARISON_INTERVAL_MILLISECONDS, suspicions::compareWithOne);
        tasks.runEvery(COMPARISON_INTERVAL_MILLISECONDS, conditions::compareWithOne);
        tasks.runRepeatedly(conditions::announce);
        tasks.runRepeatedly(suspicionStore::read);
        tasks.runRepeatedly(suspicionStore::write);
        tasks.executor().execute(() -> MeshWarmup.runOnceServing(settings, configuration::isServing, data::isUsed));
        log.atInfo().log("node %s started in %s", settings.node(), settings.locality());
    }

    // -- events

    /** Records the newest version that members are known to hold, also those that did not tell this node themselves. */
    private void recordNewestVersion() {
        control.directory()
                .newestHolder()
                .ifPresent(peer -> versions.record(
                        new VersionEvent.Heard(new VersionOrigin.Advertisement(peer.address()), peer.heldVersion())));
    }

    private String nameOf(Address controlAddress) {
        return control.directory().nameOf(controlAddress);
    }

    private void compareWith(List<Address> newlyReachable) {
        suspicions.compareWith(newlyReachable);
        conditions.compareWith(newlyReachable);
    }

    private boolean hasLeft(NodeId node) {
        return control.gossip()
                .table()
                .record(node)
                .filter(record -> record.liveness() == Liveness.LEFT)
                .isPresent();
    }

    // -- end

    /** Stops immediately and without notice to other nodes, like a killed process. */
    @Override
    public void close() {
        tasks.close();
        data.close();
        listeners.forEach(HttpListener::close);
        if (controlServer != null) {
            controlServer.close();
        }
        frames.close();
        store.close();
    }

    private static NodeFailure bindFailure(ListenerFailure failure) {
        return switch (failure) {
            case ListenerFailure.BindFailed listen -> new NodeFailure.BindFailed(listen.address(), listen.reason());
        };
    }
}
