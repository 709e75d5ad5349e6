package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.oleanderturn.membership.GossipSettings;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.store.HttpStore;
import org.oleanderturn.store.RateLimitedStore;
import org.oleanderturn.store.StoreSettings;
import org.oleanderturn.traffic.QuarantineRecord;
import org.oleanderturn.wire.FrameClient;
import org.oleanderturn.wire.FrameServer;
import org.oleanderturn.wire.ListenAddress;
import org.oleanderturn.wire.WireFailure;
import org.oleanderturn.wire.WireLimits;

/**
 * A running node with the product's own interface; {@link MeshNode} is its counterpart on the users' platform.
 *
 * <p>Invariants: the node stops at most once; a graceful stop refuses new requests from the start and completes those in
 * flight. Thread safe.
 */
public final class Node {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** How long a stopping node waits for other nodes to learn of its drain. */
    private static final Duration DRAIN_ANNOUNCEMENT_DELAY = Duration.ofSeconds(1);

    /** Size of a burst of store calls, in seconds of the permitted rate. */
    private static final int STORE_BURST_SECONDS = 2;

    private static final int WARMUP_REQUESTS = 4_000;
    private static final Duration STORE_CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final NodeSettings settings;
    private final PeriodicTasks tasks = new PeriodicTasks();
    private final FrameClient frames = FrameClient.of(WireLimits.defaults());
    private final HttpStore store;
    private final RateLimitedStore rateLimitedStore;
    private final ControlChannel channel;
    private final ControlPlane control;
    private final DataPlane data;
    private final RoutingState routing;
    private final DrainController drainController;
    private final NodeMetrics metrics = new NodeMetrics();
    private final AtomicBoolean isStopping = new AtomicBoolean();
    private FrameServer controlServer;
    private HttpListener operatorListener;

    private Node(NodeSettings settings) {
        this.settings = settings;
        this.store = HttpStore.of(storeSettings(settings));
        int callsPerSecond = settings.platform().callsPerSecond();
        this.rateLimitedStore =
                RateLimitedStore.of(store, callsPerSecond, callsPerSecond * STORE_BURST_SECONDS, System::nanoTime);
        LongSupplier milliseconds = MonotonicClock.start();
        this.channel = ControlChannel.of(
                frames::call, tasks.executor(), settings.listen().control());
        this.data = new DataPlane(settings, rateLimitedStore, tasks.executor(), milliseconds);
        this.control = new ControlPlane(
                settings,
                rateLimitedStore,
                channel,
                milliseconds,
                GossipSettings.defaults(),
                (election, _) -> election,
                this::onMembersChanged);
        this.routing = new RoutingState(() -> control.gossip().table().endpointView(), data::updateLimits);
        control.holder().addPreparation(routing::update);
        this.drainController = new DrainController(
                settings.node(),
                data.monitor()::drain,
                data.monitor()::undrain,
                data.monitor()::state,
                control.gossip());
    }

    /**
     * Starts a node.
     *
     * @return the running node, or why an address could not be bound, in which case nothing is left running
     */
    public static Either<NodeFailure, Node> start(NodeSettings settings) {
        Objects.requireNonNull(settings, "settings is null");
        Node node = new Node(settings);
        Either<NodeFailure, Node> started =
                node.listenControl().flatMap(Node::listenOperators).flatMap(Node::listenRequests);
        started.peek(Node::run);
        started.peekLeft(_ -> node.closeAll());
        return started;
    }

    // -- queries

    /** Returns the node's current state, as operators see it. */
    public StateDump state() {
        return StateDumpCollector.collect(settings, control, data, routing, rateLimitedStore.counters(), traffic());
    }

    private StateDump.Traffic traffic() {
        return new StateDump.Traffic(
                frames.counters().sentBytes() + controlServer.counters().sentBytes(),
                frames.counters().receivedBytes() + controlServer.counters().receivedBytes());
    }

    // -- commands

    /**
     * Stops gracefully: announces a drain, completes the requests in flight, settles claims and leaves the mesh. Blocks until
     * then; a second call has no effect and returns true.
     *
     * @return whether all requests in flight were completed
     */
    public boolean stop() {
        if (!isStopping.compareAndSet(false, true)) {
            return true;
        }
        log.atInfo().log("stopping");
        data.disableKeepAlive();
        drainController.setDraining(true);
        LockSupport.parkNanos(DRAIN_ANNOUNCEMENT_DELAY.toNanos());
        boolean isCompleted = data.drain(settings.drainTimeout());
        data.claims().retryPendingSettlements();
        control.leave();
        closeAll();
        log.atInfo().log("stopped; all requests in flight completed: %s", isCompleted);
        return isCompleted;
    }

    // -- start

    private Either<NodeFailure, Node> listenControl() {
        ControlHandler handler = new ControlHandler(
                settings.node(),
                control.gossip(),
                control.disseminator(),
                control.recovery(),
                drainController,
                data.quarantine(),
                TargetMessages::answerNone,
                System::currentTimeMillis);
        Address address = settings.listen().control();
        return FrameServer.start(ListenAddress.of(address), handler, WireLimits.defaults())
                .peek(server -> controlServer = server)
                .mapLeft(failure -> bindFailure(address, failure))
                .map(_ -> this);
    }

    private Either<NodeFailure, Node> listenOperators() {
        OperatorHandler handler = new OperatorHandler(control, routing, drainController, channel, metrics, this::state);
        Address address = settings.listen().operator();
        return HttpListener.start(address.host(), address.port(), handler, ListenerLimits.defaults())
                .peek(listener -> operatorListener = listener)
                .mapLeft(Node::bindFailure)
                .map(_ -> this);
    }

    private Either<NodeFailure, Node> listenRequests() {
        return data.listen(routing, control.recovery(), metrics)
                .mapLeft(Node::bindFailure)
                .map(_ -> this);
    }

    private void run() {
        StateMetrics.register(metrics, this::state);
        data.monitor().onStateChange(this::onTargetStateChanged);
        data.monitor().onQuarantine(this::announceQuarantine);
        data.start(tasks);
        warmUp();
        control.start(tasks, this::onReady);
        log.atInfo().log("node %s started in %s", settings.node(), settings.locality());
    }

    private void warmUp() {
        Duration timeout = settings.warmupTimeout();
        if (timeout.isPositive()) {
            Warmup.run(timeout, WARMUP_REQUESTS);
        }
    }

    private void onReady() {
        data.monitor().setNodeReady(true);
    }

    // -- events

    private void onMembersChanged() {
        if (routing != null) {
            routing.refresh();
        }
    }

    private void onTargetStateChanged(EndpointState state) {
        control.gossip().announceState(state);
    }

    private void announceQuarantine(QuarantineRecord record) {
        List<Address> peers = control.gossip().table().reachablePeers().stream()
                .map(MemberRecord::controlAddress)
                .toList();
        channel.announceQuarantine(peers, record);
    }

    // -- end

    private void closeAll() {
        tasks.close();
        data.close();
        if (operatorListener != null) {
            operatorListener.close();
        }
        if (controlServer != null) {
            controlServer.close();
        }
        frames.close();
        store.close();
    }

    private static StoreSettings storeSettings(NodeSettings settings) {
        Duration timeout = Duration.ofMillis(settings.platform().timeoutMilliseconds());
        return StoreSettings.of(settings.platform().address()).withTimeouts(STORE_CONNECT_TIMEOUT, timeout);
    }

    private static NodeFailure bindFailure(Address address, WireFailure failure) {
        return new NodeFailure.BindFailed(address.toString(), failure.toString());
    }

    private static NodeFailure bindFailure(ListenerFailure failure) {
        return switch (failure) {
            case ListenerFailure.BindFailed listen -> new NodeFailure.BindFailed(listen.address(), listen.reason());
        };
    }
}
