package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.distribution.VersionListener;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.mesh.RequestLimiter;
import org.oleanderturn.mesh.RolloutPlacement;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamExchange;
import org.oleanderturn.store.RateLimitedStore;

/**
 * One life of a node of a {@link ConfigurationFleet}: the versions of its configuration and its entry as {@link MeshNode}
 * wires them. Used by one task at a time.
 */
final class ConfigurationNode {
    private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(500);
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);
    private static final int GOSSIP_BYTES = 1_500;
    private static final int STORE_CALLS = 100;
    private static final UpstreamExchange NO_TARGETS = UpstreamClient.of(1);

    /** What is known of the version that a life of a node holds. */
    private record Holding(int life, ConfigurationVersion version) {
        boolean isNewerThan(Holding other) {
            return life > other.life || (life == other.life && version.isAfter(other.version));
        }
    }

    private static final Holding UNKNOWN = new Holding(0, ConfigurationVersion.none());

    private final ConfigurationFleet fleet;
    private final ConfigurationHost host;
    private final SimulatedTime.Life life = new SimulatedTime.Life();
    private final TreeSet<Integer> reachable = new TreeSet<>();
    private final Map<Integer, Holding> holdings = new TreeMap<>();
    private final Map<Integer, ConfigurationVersion> highest = new TreeMap<>();
    private final ControlChannel channel;
    private final ConfigurationPlane plane;
    private final MeshConfiguration configuration;
    private final ConfigurationMessages messages;
    private final RequestHandler clientHandler;
    private final Map<String, Decision.Answered> answered = new HashMap<>();
    private ConfigurationVersion beingAdopted = ConfigurationVersion.none();

    ConfigurationNode(ConfigurationFleet fleet, ConfigurationHost host) {
        this.fleet = fleet;
        this.host = host;
        NodeSettings settings = host.settings();
        SplittableRandom random = new SplittableRandom(fleet.random().nextLong());
        this.channel = ControlChannel.of(
                new ConfigurationNetwork(fleet, host),
                Runnable::run,
                settings.listen().control());
        ZoneLeadership role = ZoneLeadership.of(settings.node(), settings.locality(), this::peers);
        this.plane = new ConfigurationPlane(
                settings,
                this::peers,
                role,
                channel,
                this::requestReports,
                new SimulatedTimers(fleet.time(), life),
                () -> !reachable.isEmpty(),
                VersionListener.none(),
                fleet.time()::milliseconds,
                random);
        this.configuration = new MeshConfiguration(
                settings,
                plane,
                this::peers,
                role,
                RateLimitedStore.of(
                        new ConfigurationStore(fleet, host), STORE_CALLS, STORE_CALLS * 2, fleet.time()::nanoseconds),
                channel,
                () -> host.life() > 1,
                fleet.time()::nanoseconds,
                fleet.time()::sleep,
                random);
        this.messages = new ConfigurationMessages(
                settings.node(),
                plane.disseminator(),
                plane.recovery(),
                this::highestKnownVersion,
                fleet.time()::milliseconds);
        SimulatedTimers timers = new SimulatedTimers(fleet.time(), life);
        MeshDataPlane data = new MeshDataPlane(
                settings,
                settings.mesh().orElseThrow(),
                EndpointView::empty,
                () -> 1 + reachable.size(),
                RolloutPlacement.none(),
                this::recordDecision,
                RequestLimiter.unlimited(),
                new DataPlaneRuntime(
                        NO_TARGETS,
                        NO_TARGETS,
                        timers,
                        (_, _) -> Optional.empty(),
                        fleet.time()::sleep,
                        fleet.time()::nanoseconds,
                        random));
        this.clientHandler = data.serve(configuration::routes, configuration::isServing, configuration.versionCheck());
    }

    // -- queries

    SimulatedTime.Life life() {
        return life;
    }

    ControlMessage answer(ControlMessage message) {
        return message instanceof ControlMessage.AskRelay question
                ? configuration.answer(question)
                : messages.answer(message);
    }

    ConfigurationVersion heldVersion() {
        return plane.holder().version();
    }

    private List<Peer> peers() {
        List<Peer> peers = new ArrayList<>();
        for (int number : reachable) {
            NodeSettings settings = fleet.host(number).settings();
            ConfigurationVersion held = holdings.getOrDefault(number, UNKNOWN).version();
            peers.add(new Peer(settings.node(), settings.listen().control(), settings.locality(), held, true));
        }
        return peers;
    }

    private ConfigurationVersion highestKnownVersion(NodeId node) {
        return highest.entrySet().stream()
                .filter(entry -> fleet.host(entry.getKey()).settings().node().equals(node))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(ConfigurationVersion.none());
    }

    // -- commands

    void start() {
        SimulatedTasks tasks = new SimulatedTasks(fleet.time(), life);
        configuration.start(
                tasks,
                version -> {
                    hold(host.number(), new Holding(host.life(), version));
                    fleet.recordAdoption(host, version);
                },
                () -> {});
        fleet.time().at(fleet.jittered(GOSSIP_INTERVAL), this::gossip);
    }

    /** Records whether another node is reachable. */
    void see(int number, boolean isReachable) {
        if (isReachable) {
            reachable.add(number);
        } else {
            reachable.remove(number);
        }
    }

    /** Returns whether a version is to be adopted that is neither held nor being adopted. */
    boolean beginAdoption(ConfigurationVersion offered) {
        boolean isNew = offered.isAfter(heldVersion()) && offered.isAfter(beingAdopted);
        if (isNew) {
            beingAdopted = offered;
        }
        return isNew;
    }

    /** Answers a client's request with an attempt id; returns the decision. */
    Decision.Answered answer(String attemptId, SimulatedRequest request) {
        Response _ = SimulatedFleet.handle(clientHandler, request);
        return Objects.requireNonNull(answered.remove(attemptId), "the answer was not recorded");
    }

    private void recordDecision(Decision decision) {
        if (decision instanceof Decision.Answered answer) {
            answered.put(answer.attemptId(), answer);
        }
    }

    // -- membership

    private void gossip() {
        if (life.isOver()) {
            return;
        }
        if (!reachable.isEmpty()) {
            List<Integer> numbers = List.copyOf(reachable);
            ConfigurationHost peer = fleet.host(numbers.get(fleet.random().nextInt(numbers.size())));
            fleet.send(
                    host,
                    peer,
                    fleet.scaled(GOSSIP_BYTES),
                    () -> true,
                    () -> peer.node().ifPresent(present -> {
                        present.receiveGossip(this);
                        fleet.send(peer, host, fleet.scaled(GOSSIP_BYTES), () -> true, () -> receiveGossip(present));
                    }));
        }
        fleet.time().at(fleet.jittered(GOSSIP_INTERVAL), this::gossip);
    }

    private void receiveGossip(ConfigurationNode sender) {
        if (!life.isOver()) {
            sender.holdings.forEach(this::hold);
            plane.disseminator()
                    .recordAdvertisedVersion(sender.host.settings().listen().control(), sender.heldVersion());
        }
    }

    private void hold(int number, Holding holding) {
        if (holding.isNewerThan(holdings.getOrDefault(number, UNKNOWN))) {
            holdings.put(number, holding);
            highest.merge(number, holding.version(), ConfigurationVersion::newest);
        }
    }

    // -- reports

    /** Asks all peers at once, each in a task of its own, as a simulated task can't wait for a future. */
    private List<Either<ControlFailure, PeerVersionReport>> requestReports(List<Address> peers, NodeId requester) {
        List<SimulatedTime.Pending<Either<ControlFailure, PeerVersionReport>>> pending = new ArrayList<>();
        for (Address peer : peers) {
            SimulatedTime.Pending<Either<ControlFailure, PeerVersionReport>> report =
                    fleet.time().pending();
            pending.add(report);
            fleet.time()
                    .start(
                            Duration.ZERO,
                            life,
                            () -> report.complete(channel.requestVersionReports(List.of(peer), requester)
                                    .getFirst()));
        }
        return pending.stream()
                .map(report -> report.await(REPORT_TIMEOUT)
                        .orElseGet(() -> Either.left(new ControlFailure.AnswerLost("timed out"))))
                .toList();
    }
}
