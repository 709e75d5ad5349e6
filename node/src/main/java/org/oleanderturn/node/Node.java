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
 * A running node.
 *
 * <p>Invariant: it stops once; a graceful stop takes no new work from the moment it begins and finishes what is in
 * flight. Thread safe.
 */
public final class Node {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration ANNOUNCE_TIME = Duration.ofSeconds(1);
    private static final int BURST_SECONDS = 2;
    private static final int WARMUP_REQUESTS = 4_000;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final NodeSettings settings;
    private final Loops loops = new Loops();
    private final FrameClient frames = FrameClient.of(WireLimits.defaults());
    private final HttpStore store;
    private final RateLimitedStore budgeted;
    private final ControlChannel channel;
    private final ControlPlane control;
    private final DataPlane data;
    private final RoutingState routing;
    private final DrainControl drains;
    private final NodeMetrics metrics = new NodeMetrics();
    private final AtomicBoolean isStopping = new AtomicBoolean();
    private FrameServer controlServer;
    private HttpListener operatorListener;

    private Node(NodeSettings settings) {
        this.settings = settings;
        this.store = HttpStore.of(storeSettings(settings));
        int callsPerSecond = settings.platform().callsPerSecond();
        this.budgeted = RateLimitedStore.of(store, callsPerSecond, callsPerSecond * BURST_SECONDS, System::nanoTime);
        LongSupplier milliseconds = MonotonicClock.start();
        this.channel = ControlChannel.of(
                frames::call, loops.executor(), settings.listen().control());
        this.data = new DataPlane(settings, budgeted, loops.executor(), milliseconds);
        this.control = new ControlPlane(
                settings,
                budgeted,
                channel,
                milliseconds,
                GossipSettings.defaults(),
                (election, _) -> election,
                this::membersChanged);
        this.routing = new RoutingState(
                () -> control.holder().held(), () -> control.gossip().table().endpointView(), data::configure);
        this.drains = new DrainControl(
                settings.node(),
                data.monitor()::drain,
                data.monitor()::undrain,
                data.monitor()::state,
                control.gossip());
    }

    /** Starts a node; when an address can't be listened on, nothing is left running. */
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

    /** Returns everything that the node knows of itself. */
    public StateDump state() {
        return StateReader.read(settings, control, data, routing, budgeted.counters(), traffic());
    }

    private StateDump.Traffic traffic() {
        return new StateDump.Traffic(
                frames.counters().sentBytes() + controlServer.counters().sentBytes(),
                frames.counters().receivedBytes() + controlServer.counters().receivedBytes());
    }

    // -- commands

    /**
     * Stops gracefully: refuses new work, tells the other nodes, finishes what is in flight, hands over and leaves.
     *
     * @return whether everything in flight was finished
     */
    public boolean stop() {
        if (!isStopping.compareAndSet(false, true)) {
            return true;
        }
        log.atInfo().log("stopping");
        data.shed();
        drains.apply(true);
        LockSupport.parkNanos(ANNOUNCE_TIME.toNanos());
        boolean isFinished = data.drain(settings.drainTime());
        data.claims().retryPendingSettlements();
        control.leave();
        closeAll();
        log.atInfo().log("stopped, everything in flight finished: %s", isFinished);
        return isFinished;
    }

    // -- start

    private Either<NodeFailure, Node> listenControl() {
        ControlHandler handler = new ControlHandler(
                settings.node(),
                control.gossip(),
                control.spreader(),
                control.recovery(),
                drains,
                data.quarantine(),
                (_, _) -> {},
                System::currentTimeMillis);
        Address address = settings.listen().control();
        return FrameServer.start(ListenAddress.of(address), handler, WireLimits.defaults())
                .peek(server -> controlServer = server)
                .mapLeft(failure -> listenFailed(address, failure))
                .map(_ -> this);
    }

    private Either<NodeFailure, Node> listenOperators() {
        OperatorHandler handler = new OperatorHandler(control, routing, drains, channel, metrics, this::state);
        Address address = settings.listen().operator();
        return HttpListener.start(address.host(), address.port(), handler, ListenerLimits.defaults())
                .peek(listener -> operatorListener = listener)
                .mapLeft(Node::listenFailed)
                .map(_ -> this);
    }

    private Either<NodeFailure, Node> listenRequests() {
        return data.listen(routing, control.recovery(), metrics)
                .mapLeft(Node::listenFailed)
                .map(_ -> this);
    }

    private void run() {
        StateMetrics.register(metrics, this::state);
        data.monitor().onStateChange(this::targetChanged);
        data.monitor().onConviction(this::spread);
        control.holder().addListener(_ -> routing.refresh());
        data.start(loops);
        warmUp();
        control.start(loops, this::ready);
        log.atInfo().log("node %s started in %s", settings.node(), settings.locality());
    }

    private void warmUp() {
        Duration longest = settings.warmupTime();
        if (longest.isPositive()) {
            Warmup.run(longest, WARMUP_REQUESTS);
        }
    }

    private void ready() {
        data.monitor().setNodeReady(true);
    }

    // -- events

    private void membersChanged() {
        if (routing != null) {
            routing.refresh();
        }
    }

    private void targetChanged(EndpointState state) {
        control.gossip().announceState(state);
    }

    private void spread(QuarantineRecord conviction) {
        List<Address> peers = control.gossip().table().reachablePeers().stream()
                .map(MemberRecord::controlAddress)
                .toList();
        channel.convict(peers, conviction);
    }

    // -- end

    private void closeAll() {
        loops.close();
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
        return StoreSettings.of(settings.platform().address()).withTimeouts(CONNECT_TIMEOUT, timeout);
    }

    private static NodeFailure listenFailed(Address address, WireFailure failure) {
        return new NodeFailure.ListenFailed(address.toString(), failure.toString());
    }

    private static NodeFailure listenFailed(ListenerFailure failure) {
        return switch (failure) {
            case ListenerFailure.BindFailed listen -> new NodeFailure.ListenFailed(listen.address(), listen.reason());
        };
    }
}
