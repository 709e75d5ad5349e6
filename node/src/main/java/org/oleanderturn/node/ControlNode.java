package org.oleanderturn.node;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.oleanderturn.distribution.VersionListener;
import org.oleanderturn.membership.GossipSettings;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.proxy.TargetMonitor;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.store.Store;
import org.oleanderturn.traffic.AdmissionController;
import org.oleanderturn.traffic.AdmissionLimits;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.wire.FrameClient;
import org.oleanderturn.wire.FrameServer;
import org.oleanderturn.wire.ListenAddress;
import org.oleanderturn.wire.WireCounters;
import org.oleanderturn.wire.WireLimits;

/**
 * A node that runs the control plane only: membership and configuration distribution over real connections, without a
 * data plane or an interface for operators.
 *
 * <p>Small enough that a benchmark can run many in one process. Invariant: it stops at most once. Thread safe.
 */
public final class ControlNode implements AutoCloseable {
    private static final int CONNECTIONS_PER_PEER = 1;

    private final NodeSettings settings;
    private final LongSupplier milliseconds = MonotonicClock.start();
    private final PeriodicTasks tasks = new PeriodicTasks();
    private final FrameClient frames = FrameClient.of(WireLimits.defaults());
    private final UpstreamClient upstreamClient = UpstreamClient.of(CONNECTIONS_PER_PEER);
    private final AtomicBoolean isClosed = new AtomicBoolean();
    private final ControlPlane control;
    private FrameServer server;

    private ControlNode(NodeSettings settings, Store store, UnaryOperator<FrameCaller> callerDecorator) {
        this.settings = settings;
        Address self = settings.listen().control();
        ControlChannel channel = ControlChannel.of(callerDecorator.apply(frames::call), tasks.executor(), self);
        this.control = new ControlPlane(
                settings,
                store,
                channel,
                milliseconds,
                GossipSettings.defaults(),
                (election, _) -> election,
                () -> {},
                VersionListener.none());
    }

    /**
     * Starts a control plane.
     *
     * @param callerDecorator wraps calls to other nodes, for example to delay, drop or count them
     * @return the running node, or why its control address could not be bound
     */
    public static Either<NodeFailure, ControlNode> start(
            NodeSettings settings, Store store, UnaryOperator<FrameCaller> callerDecorator) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(callerDecorator, "callerDecorator is null");
        ControlNode node = new ControlNode(settings, store, callerDecorator);
        Either<NodeFailure, ControlNode> started = node.listen();
        started.peek(running -> running.control.start(running.tasks, () -> {}));
        started.peekLeft(_ -> node.close());
        return started;
    }

    // -- queries

    /** Returns the settings that the node was started with. */
    public NodeSettings settings() {
        return settings;
    }

    /** Returns the version of the active configuration. */
    public ConfigurationVersion version() {
        return control.holder().version();
    }

    /** Returns whether the node's configuration is recent enough to serve with. */
    public boolean isReady() {
        return control.recovery().isReady();
    }

    /** Returns whether the node currently holds one of its zone's relay slots. */
    public boolean isRelay() {
        return control.election().slot(milliseconds.getAsLong()).isPresent();
    }

    /** Returns the number of other nodes that this node can reach. */
    public int reachablePeers() {
        return control.gossip().table().reachablePeers().size();
    }

    /** Returns the traffic of the calls that this node made, in bytes. */
    public WireCounters clientCounters() {
        return frames.counters();
    }

    /** Returns the traffic of the calls that this node answered, in bytes. */
    public WireCounters serverCounters() {
        return server.counters();
    }

    // -- commands

    /** Processes a proposed configuration change on this node; returns its outcome. */
    public ChangeOutcome propose(Proposal proposal) {
        return control.acceptor().propose(proposal);
    }

    /** Leaves gracefully: gives up a relay slot, announces the departure and closes. */
    public void stop() {
        control.leave();
        close();
    }

    /** Stops immediately and without notice to other nodes, like a killed process. */
    @Override
    public void close() {
        if (!isClosed.compareAndSet(false, true)) {
            return;
        }
        tasks.close();
        if (server != null) {
            server.close();
        }
        frames.close();
        upstreamClient.close();
    }

    // -- start

    private Either<NodeFailure, ControlNode> listen() {
        Address address = settings.listen().control();
        return FrameServer.start(ListenAddress.of(address), handler(), WireLimits.defaults())
                .peek(started -> server = started)
                .mapLeft(failure -> (NodeFailure) new NodeFailure.BindFailed(address.toString(), failure.toString()))
                .map(_ -> this);
    }

    private ControlHandler handler() {
        CrashQuarantine quarantine = CrashQuarantine.of(settings.node(), milliseconds, SharedRandom.create());
        AdmissionController admission =
                AdmissionController.of(AdmissionLimits.of(1, 0, 0), System::nanoTime, SharedRandom.create());
        TargetMonitor monitor = TargetMonitor.of(
                settings.target().address(), settings.target().healthPath(), upstreamClient, admission, quarantine);
        DrainController drainController = new DrainController(
                settings.node(), monitor::drain, monitor::undrain, monitor::state, control.gossip());
        return new ControlHandler(
                settings.node(),
                control.gossip(),
                control.disseminator(),
                control.recovery(),
                drainController,
                quarantine,
                TargetMessages::answerNone,
                System::currentTimeMillis);
    }
}
