package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.node.ControlNode;
import org.oleanderturn.node.NodeFailure;
import org.oleanderturn.node.NodeSettings;
import org.oleanderturn.store.HttpStore;
import org.oleanderturn.store.StoreSettings;

/**
 * Many control planes in one process, over real frames on loopback, with a store stand-in over HTTP.
 *
 * <p>Used by one thread.
 */
final class BenchFleet implements AutoCloseable {
    private static final int JOIN_ADDRESSES = 14;
    private static final int UNUSED_PORT = 9;
    private static final int CALLS_PER_SECOND = 20;
    private static final int STORE_TIMEOUT_MILLISECONDS = 1_000;
    private static final long SETTLE_MILLISECONDS = 45_000;
    private static final int STARTS = 3;
    private static final int PROPOSALS = 10;
    private static final long PROPOSAL_PAUSE_MILLISECONDS = 1_000;
    private static final long REST_MILLISECONDS = 3_000;

    private final StoreStandIn store = StoreStandIn.start(0, StoreStandInSettings.defaults());
    private final BenchNetwork network = new BenchNetwork();
    private final List<Member> members = new ArrayList<>();
    private final List<Address> addresses;
    private final List<Locality> zones;
    private int changes;

    private BenchFleet(int nodes, int zones) {
        this.zones = BenchPlaces.zones(zones);
        this.addresses = freeAddresses(nodes);
        for (int number = 0; number < nodes; number++) {
            network.place(addresses.get(number), this.zones.get(number % zones));
        }
    }

    /** Starts a fleet and waits until every node is ready, holds the first configuration and sees all others. */
    static BenchFleet start(int nodes, int zones) {
        for (int attempt = 0; attempt < STARTS; attempt++) {
            BenchFleet fleet = new BenchFleet(nodes, zones);
            try {
                if (fleet.isStarted()) {
                    fleet.change(0);
                    fleet.awaitSettled();
                    return fleet;
                }
            } catch (RuntimeException failure) {
                fleet.close();
                throw failure;
            }
            fleet.close();
        }
        throw new IllegalStateException("other processes took the ports of every try");
    }

    /** Starts every node; stops at the first whose port another process took meanwhile. */
    private boolean isStarted() {
        for (int number = 0; number < addresses.size(); number++) {
            Either<NodeFailure, Member> started = startMember(number);
            if (started.isLeft()) {
                return false;
            }
            members.add(started.get());
        }
        return true;
    }

    // -- queries

    BenchNetwork network() {
        return network;
    }

    StoreStandIn store() {
        return store;
    }

    List<Locality> zones() {
        return zones;
    }

    /** Returns the nodes that were not killed. */
    List<ControlNode> nodes() {
        return members.stream().filter(Member::isRunning).map(Member::node).toList();
    }

    List<ControlNode> nodesIn(Locality zone) {
        return nodes().stream()
                .filter(node -> node.settings().locality().equals(zone))
                .toList();
    }

    Optional<ControlNode> relay() {
        return nodes().stream().filter(ControlNode::isRelay).findFirst();
    }

    boolean isHeldBy(List<ControlNode> nodes, ConfigurationVersion version) {
        return nodes.stream().noneMatch(node -> version.isAfter(node.version()));
    }

    /** Returns the bytes that nodes sent to and received from the other region, each counted once. */
    long bytesAcross() {
        long bytes = 0;
        for (ControlNode node : nodes()) {
            Locality self = node.settings().locality();
            bytes += node.clientCounters().byPeer().stream()
                    .filter(peer -> BenchPlaces.isAcross(self, network.placeOf(peer.peer())))
                    .mapToLong(peer -> peer.sentBytes() + peer.receivedBytes())
                    .sum();
        }
        return bytes;
    }

    /** Returns the bytes of values that nodes in the other region than the store read from it. */
    long storeBytesAcross() {
        return members.stream()
                .filter(member ->
                        !BenchPlaces.isInPlatformRegion(member.node().settings().locality()))
                .mapToLong(member -> member.store().readBytes())
                .sum();
    }

    /** Returns the bytes that a node sent and received on all of its connections. */
    static long bytesOf(ControlNode node) {
        return node.clientCounters().sentBytes()
                + node.clientCounters().receivedBytes()
                + node.serverCounters().sentBytes()
                + node.serverCounters().receivedBytes();
    }

    // -- commands

    /** Proposes the next change at a node and returns the version under which it was accepted. */
    ConfigurationVersion change(int member) {
        return change(members.get(member).node());
    }

    /** Proposes the next change at a node, again when it was not run, and returns the version that was accepted. */
    ConfigurationVersion change(ControlNode node) {
        Proposal proposal = BenchConfiguration.proposal(changes);
        changes++;
        ChangeOutcome outcome = node.propose(proposal);
        for (int attempt = 1; attempt < PROPOSALS && outcome instanceof ChangeOutcome.Refused; attempt++) {
            BenchClock.pause(PROPOSAL_PAUSE_MILLISECONDS);
            outcome = node.propose(proposal);
        }
        if (outcome instanceof ChangeOutcome.Accepted accepted) {
            return accepted.version();
        }
        throw new IllegalStateException("the change was not accepted: " + outcome);
    }

    /** Ends nodes without telling anyone. */
    void kill(List<ControlNode> nodes) {
        for (int number = 0; number < members.size(); number++) {
            Member member = members.get(number);
            if (nodes.contains(member.node())) {
                member.close();
                members.set(number, new Member(member.node(), member.store(), false));
            }
        }
    }

    /** Starts every node of a zone anew, all at once. */
    void restart(Locality zone) {
        for (int number = 0; number < members.size(); number++) {
            if (network.placeOf(addresses.get(number)).equals(zone)) {
                members.set(
                        number,
                        startMember(number).getOrElseThrow(failure -> new IllegalStateException(failure.toString())));
            }
        }
    }

    void awaitSettled() {
        boolean isSettled = BenchClock.await(SETTLE_MILLISECONDS, this::isSettled);
        if (!isSettled) {
            long ready = nodes().stream().filter(ControlNode::isReady).count();
            throw new IllegalStateException("the fleet did not settle: " + ready + " of " + members.size() + " ready");
        }
        BenchClock.pause(REST_MILLISECONDS);
    }

    @Override
    public void close() {
        members.parallelStream().forEach(Member::close);
        store.close();
    }

    // -- parts

    private boolean isSettled() {
        int others = members.size() - 1;
        return relay().isPresent()
                && nodes().stream()
                        .allMatch(node ->
                                node.isReady() && node.version().number() > 0 && node.reachablePeers() >= others);
    }

    private Either<NodeFailure, Member> startMember(int number) {
        NodeSettings settings = settings(number);
        StoreSettings reached = StoreSettings.of(store.address())
                .withTimeouts(Duration.ofMillis(500), Duration.ofMillis(STORE_TIMEOUT_MILLISECONDS));
        BenchStore nodeStore = new BenchStore(HttpStore.of(reached), settings.locality(), network);
        return ControlNode.start(settings, nodeStore, caller -> network.from(settings.locality(), caller))
                .map(node -> new Member(node, nodeStore, true))
                .peekLeft(_ -> nodeStore.close());
    }

    private NodeSettings settings(int number) {
        Locality place = network.placeOf(addresses.get(number));
        Address unused = Address.of("127.0.0.1", UNUSED_PORT);
        List<Address> join = addresses.stream()
                .limit(JOIN_ADDRESSES)
                .filter(address -> !address.equals(addresses.get(number)))
                .toList();
        ServiceName service = ServiceName.of("service-" + number % BenchConfiguration.SERVICES);
        return new NodeSettings(
                NodeId.of("node-" + number),
                place.region(),
                place.zone(),
                BenchPlaces.PLATFORM_REGION,
                new NodeSettings.Listen(unused, unused, addresses.get(number), unused),
                new NodeSettings.Platform(store.address(), CALLS_PER_SECOND, STORE_TIMEOUT_MILLISECONDS),
                new NodeSettings.Target(unused, service, "/health", "/load"),
                join,
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    private static List<Address> freeAddresses(int count) {
        return Stream.generate(BenchPorts::next)
                .limit(count)
                .map(port -> Address.of("127.0.0.1", port))
                .toList();
    }

    private record Member(ControlNode node, BenchStore store, boolean isRunning) implements AutoCloseable {

        @Override
        public void close() {
            store.close();
            node.close();
        }
    }
}
