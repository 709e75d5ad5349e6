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
 * Runs the control planes of many nodes in one process. They exchange real frames over loopback, with the delays of
 * {@link BenchNetwork}, and reach a store stand-in over HTTP.
 *
 * <p>Used by one thread.
 */
final class BenchFleet implements AutoCloseable {
    private static final int JOIN_ADDRESSES = 14;
    private static final int UNUSED_PORT = 9;
    private static final int STORE_CALLS_PER_SECOND = 20;
    private static final int STORE_TIMEOUT_MILLISECONDS = 1_000;
    private static final long SETTLE_TIMEOUT_MILLISECONDS = 45_000;
    private static final int START_ATTEMPTS = 3;
    private static final int PROPOSAL_ATTEMPTS = 10;
    private static final long PROPOSAL_RETRY_DELAY_MILLISECONDS = 1_000;
    private static final long SETTLED_PAUSE_MILLISECONDS = 3_000;

    private final StoreStandIn store = StoreStandIn.start(0, StoreStandInSettings.defaults());
    private final BenchNetwork network = new BenchNetwork();
    private final List<Member> members = new ArrayList<>();
    private final List<Address> addresses;
    private final List<Locality> zones;
    private int changes;

    private BenchFleet(int nodes, int zones) {
        this.zones = BenchLocalities.zones(zones);
        this.addresses = freeAddresses(nodes);
        for (int index = 0; index < nodes; index++) {
            network.setLocality(addresses.get(index), this.zones.get(index % zones));
        }
    }

    /**
     * Starts a fleet and waits until every node is ready, has the first configuration and can reach all others. Tries
     * again with other ports if a node fails to start, usually because another process has taken its port.
     *
     * @throws IllegalStateException if every attempt failed, or if the fleet did not settle in time
     */
    static BenchFleet start(int nodes, int zones) {
        for (int attempt = 0; attempt < START_ATTEMPTS; attempt++) {
            BenchFleet fleet = new BenchFleet(nodes, zones);
            try {
                if (fleet.startMembers()) {
                    fleet.proposeChange(0);
                    fleet.awaitSettled();
                    return fleet;
                }
            } catch (RuntimeException failure) {
                fleet.close();
                throw failure;
            }
            fleet.close();
        }
        throw new IllegalStateException("other processes took the allocated ports in every attempt to start the fleet");
    }

    /** Starts the nodes in order; returns false at the first failure, usually a port that was taken in the meantime. */
    private boolean startMembers() {
        for (int index = 0; index < addresses.size(); index++) {
            Either<NodeFailure, Member> started = startMember(index);
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

    /** Returns the running nodes, without those that were killed. */
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

    /** Returns the bytes that running nodes exchanged with nodes of the other region, counted at the calling node only. */
    long crossRegionBytes() {
        long bytes = 0;
        for (ControlNode node : nodes()) {
            Locality self = node.settings().locality();
            bytes += node.clientCounters().byPeer().stream()
                    .filter(peer -> BenchLocalities.isCrossRegion(self, network.localityOf(peer.peer())))
                    .mapToLong(peer -> peer.sentBytes() + peer.receivedBytes())
                    .sum();
        }
        return bytes;
    }

    /** Returns the bytes of values that nodes outside the store's region read from the store. */
    long crossRegionStoreReadBytes() {
        return members.stream()
                .filter(member -> !BenchLocalities.isInPlatformRegion(
                        member.node().settings().locality()))
                .mapToLong(member -> member.store().readBytes())
                .sum();
    }

    /** Returns the bytes that a node sent and received over all of its connections, as client and as server. */
    static long transferredBytes(ControlNode node) {
        return node.clientCounters().sentBytes()
                + node.clientCounters().receivedBytes()
                + node.serverCounters().sentBytes()
                + node.serverCounters().receivedBytes();
    }

    // -- commands

    /** Proposes the next change at the node with the given index and returns the accepted version. */
    ConfigurationVersion proposeChange(int index) {
        return proposeChange(members.get(index).node());
    }

    /**
     * Proposes the next change at a node and returns the accepted version.
     *
     * @throws IllegalStateException if the change was not accepted
     */
    ConfigurationVersion proposeChange(ControlNode node) {
        Proposal proposal = BenchConfiguration.proposal(changes);
        changes++;
        return propose(node, proposal);
    }

    /**
     * Sends a proposal to a node, repeats it while it is refused, and returns the accepted version.
     *
     * @throws IllegalStateException if the proposal was not accepted
     */
    ConfigurationVersion propose(ControlNode node, Proposal proposal) {
        ChangeOutcome outcome = node.propose(proposal);
        for (int attempt = 1; attempt < PROPOSAL_ATTEMPTS && outcome instanceof ChangeOutcome.Refused; attempt++) {
            BenchClock.pause(PROPOSAL_RETRY_DELAY_MILLISECONDS);
            outcome = node.propose(proposal);
        }
        if (outcome instanceof ChangeOutcome.Accepted accepted) {
            return accepted.version();
        }
        throw new IllegalStateException("the proposed change was not accepted: " + outcome);
    }

    /** Stops nodes without notifying the others. */
    void kill(List<ControlNode> nodes) {
        for (int index = 0; index < members.size(); index++) {
            Member member = members.get(index);
            if (nodes.contains(member.node())) {
                member.close();
                members.set(index, new Member(member.node(), member.store(), false));
            }
        }
    }

    /** Starts every node of a zone again, without waiting until they are ready. */
    void restartZone(Locality zone) {
        for (int index = 0; index < members.size(); index++) {
            if (network.localityOf(addresses.get(index)).equals(zone)) {
                members.set(
                        index,
                        startMember(index).getOrElseThrow(failure -> new IllegalStateException(failure.toString())));
            }
        }
    }

    /**
     * Waits until a relay exists and every node is ready, has a configuration and can reach all others.
     *
     * @throws IllegalStateException if this takes longer than the timeout
     */
    void awaitSettled() {
        boolean isSettled = BenchClock.await(SETTLE_TIMEOUT_MILLISECONDS, this::isSettled);
        if (!isSettled) {
            long ready = nodes().stream().filter(ControlNode::isReady).count();
            throw new IllegalStateException(
                    "the fleet did not settle in time: " + ready + " of " + members.size() + " ready");
        }
        BenchClock.pause(SETTLED_PAUSE_MILLISECONDS);
    }

    @Override
    public void close() {
        members.parallelStream().forEach(Member::close);
        store.close();
    }

    // -- helpers

    private boolean isSettled() {
        int others = members.size() - 1;
        return relay().isPresent()
                && nodes().stream()
                        .allMatch(node ->
                                node.isReady() && node.version().number() > 0 && node.reachablePeers() >= others);
    }

    private Either<NodeFailure, Member> startMember(int index) {
        NodeSettings settings = settings(index);
        StoreSettings storeSettings = StoreSettings.of(store.address())
                .withTimeouts(Duration.ofMillis(500), Duration.ofMillis(STORE_TIMEOUT_MILLISECONDS));
        BenchStore nodeStore = new BenchStore(HttpStore.of(storeSettings), settings.locality(), network);
        return ControlNode.start(settings, nodeStore, caller -> network.callerFrom(addresses.get(index), caller))
                .map(node -> new Member(node, nodeStore, true))
                .peekLeft(_ -> nodeStore.close());
    }

    private NodeSettings settings(int index) {
        Locality locality = network.localityOf(addresses.get(index));
        Address unused = Address.of("127.0.0.1", UNUSED_PORT);
        List<Address> join = addresses.stream()
                .limit(JOIN_ADDRESSES)
                .filter(address -> !address.equals(addresses.get(index)))
                .toList();
        ServiceName service = ServiceName.of("service-" + index % BenchConfiguration.SERVICES);
        return new NodeSettings(
                NodeId.of("node-" + index),
                locality.region(),
                locality.zone(),
                BenchLocalities.PLATFORM_REGION,
                new NodeSettings.Listen(unused, unused, addresses.get(index), unused),
                new NodeSettings.Platform(store.address(), STORE_CALLS_PER_SECOND, STORE_TIMEOUT_MILLISECONDS),
                new NodeSettings.Target(unused, service, "/health", "/load"),
                join,
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    private static List<Address> freeAddresses(int count) {
        return Stream.generate(BenchPorts::nextFree)
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
