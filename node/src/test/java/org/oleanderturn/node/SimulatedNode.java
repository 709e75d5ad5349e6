package org.oleanderturn.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.mesh.RequestLimiter;
import org.oleanderturn.mesh.RolloutPlacement;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.mesh.VersionStatus;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.traffic.SlotDecision;
import org.oleanderturn.traffic.SlotTicket;

/**
 * One life of a node of a {@link SimulatedFleet}: its data plane and exchanges as {@link MeshNode} wires them. Used by one
 * task at a time.
 */
final class SimulatedNode {
    private static final Duration LONGEST_FIRST_DELAY = Duration.ofMillis(200);

    private final SimulatedFleet fleet;
    private final SimulatedHost host;
    private final SimulatedTime.Life life = new SimulatedTime.Life();
    private final Map<Integer, EndpointState> seen = new TreeMap<>();
    private final MeshDataPlane data;
    private final RequestHandler clientHandler;
    private final RequestHandler targetCalls;
    private final SuspicionExchange suspicions;
    private final SuspicionStore suspicionStore;
    private final TargetMessages messages;
    private final ConditionExchange conditions;
    private final PeerReview review;
    private final LoadAnnouncer loads;
    private EndpointView view = EndpointView.empty();

    SimulatedNode(SimulatedFleet fleet, SimulatedHost host, NodeSettings settings, RouteIndex routes) {
        this.fleet = fleet;
        this.host = host;
        SimulatedTimers timers = new SimulatedTimers(fleet.time(), life);
        SimulatedNetwork network = new SimulatedNetwork(fleet, host);
        this.data = new MeshDataPlane(
                settings,
                settings.mesh().orElseThrow(),
                () -> view,
                () -> 1 + seen.size(),
                RolloutPlacement.none(),
                fleet.decisions()::add,
                RequestLimiter.unlimited(),
                new DataPlaneRuntime(
                        network,
                        network,
                        timers,
                        this::awaitSlot,
                        fleet.time()::sleep,
                        fleet.time()::nanoseconds,
                        fleet.random()));
        this.clientHandler = data.serve(() -> routes, () -> true, _ -> new VersionStatus.Newest());
        this.targetCalls = data.targetCallHandler();
        ControlChannel channel =
                ControlChannel.of(network, timers, settings.listen().control());
        this.suspicions = new SuspicionExchange(
                settings.locality(), data.crashLedger(), channel, this::peers, timers, fleet.random());
        this.suspicionStore = new SuspicionStore(
                new SimulatedStore(fleet.time(), fleet.store()),
                data.crashLedger(),
                ZoneLeadership.of(settings.node(), settings.locality(), this::directory),
                suspicions::publish,
                fleet.time()::milliseconds,
                fleet.random());
        this.messages = new TargetMessages(data);
        this.conditions = new ConditionExchange(data, channel, this::peers, timers, fleet.random());
        this.review = new PeerReview(this::peers, _ -> false, data, this::compareWith);
        this.loads = new LoadAnnouncer(
                settings.node(),
                settings.region(),
                settings.mesh().orElseThrow().chosenPlacement(),
                data::load,
                this::peers,
                channel);
    }

    // -- queries

    MeshDataPlane data() {
        return data;
    }

    SimulatedTime.Life life() {
        return life;
    }

    RequestHandler clientHandler() {
        return clientHandler;
    }

    RequestHandler targetCalls() {
        return targetCalls;
    }

    ControlMessage answer(ControlMessage message) {
        return messages.answer(message);
    }

    private List<MemberRecord> peers() {
        return seen.entrySet().stream()
                .map(entry -> fleet.host(entry.getKey()).record(entry.getValue()))
                .toList();
    }

    private List<Peer> directory() {
        return peers().stream()
                .map(peer -> new Peer(
                        peer.node(), peer.controlAddress(), peer.locality(), ConfigurationVersion.none(), true))
                .toList();
    }

    // -- commands

    void start() {
        data.target().onStateChange(state -> {
            updateView();
            fleet.announce(host, state);
        });
        data.crashMonitor().onChange(suspicions::publish);
        data.crashMonitor().onAgreedTrial(suspicionStore::claimTrial);
        data.crashMonitor().onTrial(new SuspicionReplicator(suspicions, suspicionStore));
        repeat(() -> every(250, review::run));
        repeat(() -> every(500, data.target()::checkHeartbeatTimeout));
        repeat(loads::run);
        repeat(conditions::announce);
        repeatBlocking(() -> every(2_000, conditions::compareWithOne));
        repeatBlocking(() -> every(2_000, suspicions::compareWithOne));
        repeatBlocking(suspicionStore::read);
        repeatBlocking(suspicionStore::write);
        updateView();
    }

    /** Records that another node is reachable and what it announces; empty when it is not reachable. */
    void see(int number, Optional<EndpointState> state) {
        state.ifPresentOrElse(known -> seen.put(number, known), () -> seen.remove(number));
        updateView();
    }

    /** Records what a reachable node announces. */
    void recordState(int number, EndpointState state) {
        seen.replace(number, state);
        updateView();
    }

    private void compareWith(List<Address> newlyReachable) {
        suspicions.compareWith(newlyReachable);
        conditions.compareWith(newlyReachable);
    }

    private void updateView() {
        List<Endpoint> endpoints = new ArrayList<>();
        endpoints.add(host.record(data.target().state()).endpoint());
        peers().forEach(peer -> endpoints.add(peer.endpoint()));
        view = EndpointView.of(endpoints);
    }

    // -- tasks

    /** Repeats a task that doesn't block, which spares it a thread. */
    private void repeat(LongSupplier task) {
        fleet.time().at(firstDelay(), () -> runAndRepeat(task));
    }

    private void runAndRepeat(LongSupplier task) {
        if (!life.isOver()) {
            fleet.time().at(Duration.ofMillis(task.getAsLong()), () -> runAndRepeat(task));
        }
    }

    private void repeatBlocking(LongSupplier task) {
        fleet.time().start(firstDelay(), life, () -> {
            while (!life.isOver()) {
                fleet.time().sleep(Duration.ofMillis(task.getAsLong()));
            }
        });
    }

    private Duration firstDelay() {
        return Duration.ofNanos(fleet.random().nextLong(LONGEST_FIRST_DELAY.toNanos()));
    }

    private static long every(long milliseconds, Runnable task) {
        task.run();
        return milliseconds;
    }

    private Optional<SlotDecision> awaitSlot(SlotTicket ticket, Duration timeout) {
        if (ticket.decision().isEmpty()) {
            fleet.stages().reach(RequestStage.SLOT);
        }
        SimulatedTime.Pending<SlotDecision> decision = fleet.time().pending();
        ticket.onDecision(decision::complete);
        return decision.await(timeout);
    }
}
