package org.oleanderturn.node;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
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
 * A node's control plane alone: membership and distribution over the real wire, without requests or operators.
 *
 * <p>Many fit into one process. Invariant: it stops once. Thread safe.
 */
public final class ControlNode implements AutoCloseable {
    private static final int CONNECTIONS_PER_PEER = 1;

    private final NodeSettings settings;
    private final LongSupplier milliseconds = MonotonicClock.start();
    private final Loops loops = new Loops();
    private final FrameClient frames = FrameClient.of(WireLimits.defaults());
    private final UpstreamClient upstreams = UpstreamClient.of(CONNECTIONS_PER_PEER);
    private final AtomicBoolean isClosed = new AtomicBoolean();
    private final ControlPlane control;
    private FrameServer server;

    private ControlNode(NodeSettings settings, Store store, UnaryOperator<FrameCaller> link) {
        this.settings = settings;
        Address self = settings.listen().control();
        ControlChannel channel = ControlChannel.of(link.apply(frames::call), loops.executor(), self);
        this.control = new ControlPlane(
                settings, store, channel, milliseconds, GossipSettings.defaults(), (election, _) -> election, () -> {});
    }

    /**
     * Starts a control plane.
     *
     * @param link puts delays, cuts or counts around the calls to other nodes
     */
    public static Either<NodeFailure, ControlNode> start(
            NodeSettings settings, Store store, UnaryOperator<FrameCaller> link) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(link, "link is null");
        ControlNode node = new ControlNode(settings, store, link);
        Either<NodeFailure, ControlNode> started = node.listen();
        started.peek(running -> running.control.start(running.loops, () -> {}));
        started.peekLeft(_ -> node.close());
        return started;
    }

    // -- queries

    /** Returns the settings it was started with. */
    public NodeSettings settings() {
        return settings;
    }

    /** Returns the version in force here. */
    public ConfigurationVersion version() {
        return control.holder().version();
    }

    /** Returns whether the node holds a version with which it may serve. */
    public boolean isReady() {
        return control.recovery().isReady();
    }

    /** Returns whether the node holds one of its zone's relay slots now. */
    public boolean isRelay() {
        return control.election().slot(milliseconds.getAsLong()).isPresent();
    }

    /** Returns how many other nodes it can reach. */
    public int reachablePeers() {
        return control.gossip().table().reachablePeers().size();
    }

    /** Returns the bytes of the calls that this node made. */
    public WireCounters made() {
        return frames.counters();
    }

    /** Returns the bytes of the calls that this node answered. */
    public WireCounters answered() {
        return server.counters();
    }

    // -- commands

    /** Decides a proposal here. */
    public ChangeOutcome propose(Proposal proposal) {
        return control.acceptor().propose(proposal);
    }

    /** Leaves gracefully: hands the relay's slot over and tells the other nodes. */
    public void stop() {
        control.leave();
        close();
    }

    /** Ends at once, as a killed process does: nobody is told. */
    @Override
    public void close() {
        if (!isClosed.compareAndSet(false, true)) {
            return;
        }
        loops.close();
        if (server != null) {
            server.close();
        }
        frames.close();
        upstreams.close();
    }

    // -- start

    private Either<NodeFailure, ControlNode> listen() {
        Address address = settings.listen().control();
        return FrameServer.start(ListenAddress.of(address), handler(), WireLimits.defaults())
                .peek(started -> server = started)
                .mapLeft(failure -> (NodeFailure) new NodeFailure.ListenFailed(address.toString(), failure.toString()))
                .map(_ -> this);
    }

    private ControlHandler handler() {
        CrashQuarantine quarantine = CrashQuarantine.of(settings.node(), milliseconds, SharedRandom.create());
        AdmissionController admission =
                AdmissionController.of(AdmissionLimits.of(1, 0, 0), System::nanoTime, SharedRandom.create());
        TargetMonitor monitor = TargetMonitor.of(
                settings.target().address(), settings.target().healthPath(), upstreams, admission, quarantine);
        DrainControl drains =
                new DrainControl(settings.node(), monitor::drain, monitor::undrain, monitor::state, control.gossip());
        return new ControlHandler(
                settings.node(),
                control.gossip(),
                control.spreader(),
                control.recovery(),
                drains,
                quarantine,
                (_, _) -> {},
                System::currentTimeMillis);
    }
}
