package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.Supplier;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;

/**
 * Connects disseminators by direct calls, injects faults at chosen messages and checks all nodes after each message.
 */
final class FakeNetwork {
    static final Region PLATFORM_REGION = Region.of("south");

    /** The fault that one message suffers. */
    enum Fault {
        NONE,
        UNREACHABLE,
        REQUEST_LOST,
        ANSWER_LOST,
        DUPLICATED,
        DELAYED
    }

    private final Map<Address, Node> nodes = new TreeMap<>((one, other) -> one.port() - other.port());
    private final Map<Integer, Fault> faults = new HashMap<>();
    private final List<Runnable> delayedMessages = new ArrayList<>();
    private final Random random;
    private final String label;
    BiPredicate<Node, Node> isPartitioned = (_, _) -> false;
    long nowMilliseconds;
    private int messages;
    private int crossRegionPayloads;

    FakeNetwork(long seed, String label) {
        this.random = new Random(seed);
        this.label = label + " seed " + seed;
    }

    /** One node with its holder and its disseminator, connected to the other nodes. */
    final class Node implements ConfigurationTransport, PeerDirectory {
        final ConfigurationHolder holder = ConfigurationHolder.empty();
        final Locality locality;
        final Address address;
        final Disseminator disseminator;
        OptionalInt slot = OptionalInt.empty();
        boolean isFrozen;
        private ConfigurationVersion lastHeld = ConfigurationVersion.none();

        private Node(String region, String zone) {
            this.locality = Locality.of(region, zone);
            this.address = Address.of("127.0.0.1", 1 + nodes.size());
            UpdateSource source = UpdateSource.of(holder, SnapshotHistory.of(holder));
            this.disseminator = Disseminator.of(
                    holder,
                    source,
                    this,
                    this,
                    _ -> slot,
                    locality,
                    PLATFORM_REGION,
                    Runnable::run,
                    new Random(random.nextLong()));
        }

        @Override
        public List<Peer> peers() {
            return nodes.values().stream()
                    .filter(node -> node != this)
                    .map(node -> new Peer(
                            NodeId.of("node-" + node.address.port()),
                            node.address,
                            node.locality,
                            node.lastHeld,
                            !isPartitioned.test(this, node)))
                    .toList();
        }

        @Override
        public Either<PeerFailure, ConfigurationUpdate> fetch(
                Address peer, ConfigurationVersion held, Digest heldDigest) {
            return call(peer, node -> node.disseminator.serve(held, heldDigest, nowMilliseconds));
        }

        @Override
        public Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update) {
            countPayload(nodes.get(peer), update);
            return call(peer, node -> node.disseminator.receive(address, update));
        }

        private void countPayload(Node node, Object message) {
            boolean isPayload =
                    message instanceof ConfigurationUpdate.Delta || message instanceof ConfigurationUpdate.Snapshot;
            boolean isCrossRegion = !locality.region().equals(node.locality.region());
            crossRegionPayloads += isCrossRegion && isPayload ? 1 : 0;
        }

        private <T> Either<PeerFailure, T> call(Address peer, Function<Node, T> effect) {
            Node node = nodes.get(peer);
            Supplier<T> delivery = () -> {
                T response = effect.apply(node);
                countPayload(node, response);
                check();
                return response;
            };
            Fault fault = faults.getOrDefault(messages++, Fault.NONE);
            if (isPartitioned.test(this, node) || node.isFrozen) {
                return Either.left(new PeerFailure.Unreachable("partitioned or frozen"));
            }
            return switch (fault) {
                case NONE -> Either.right(delivery.get());
                case UNREACHABLE -> Either.left(new PeerFailure.Unreachable("injected fault"));
                case REQUEST_LOST -> Either.left(new PeerFailure.TimedOut());
                case ANSWER_LOST -> {
                    var _ = delivery.get();
                    yield Either.left(new PeerFailure.TimedOut());
                }
                case DUPLICATED -> {
                    var _ = delivery.get();
                    yield Either.right(delivery.get());
                }
                case DELAYED -> {
                    delayedMessages.add(() -> {
                        var _ = delivery.get();
                    });
                    yield Either.left(new PeerFailure.TimedOut());
                }
            };
        }
    }

    // -- setup and faults

    Node add(String region, String zone) {
        Node node = new Node(region, zone);
        nodes.put(node.address, node);
        return node;
    }

    void injectFault(int message, Fault fault) {
        faults.put(message, fault);
    }

    void deliverDelayed() {
        List<Runnable> due = List.copyOf(delayedMessages);
        delayedMessages.clear();
        due.forEach(Runnable::run);
    }

    int messages() {
        return messages;
    }

    /** Returns the number of messages between regions that contained a snapshot or a delta. */
    int crossRegionPayloads() {
        return crossRegionPayloads;
    }

    // -- time

    /** Lets all running nodes push until none has a version to push, for at most 50 rounds. */
    void settle() {
        boolean isAnyDue = true;
        for (int round = 0; isAnyDue && round < 50; round++) {
            isAnyDue = false;
            for (Node node : running()) {
                if (node.disseminator.isDisseminationDue()) {
                    node.disseminator.disseminate(nowMilliseconds);
                    isAnyDue = true;
                }
            }
        }
    }

    /** Advances the time in steps of half a second and runs all running nodes at each step. */
    void advance(long milliseconds) {
        for (long end = nowMilliseconds + milliseconds; nowMilliseconds < end; nowMilliseconds += 500) {
            running().forEach(node -> node.disseminator.tick(nowMilliseconds));
            settle();
            check();
        }
    }

    private List<Node> running() {
        return nodes.values().stream().filter(node -> !node.isFrozen).toList();
    }

    // -- invariants

    /** Checks that no node reverted to an older version and that each holds a complete accepted configuration. */
    void check() {
        for (Node node : nodes.values()) {
            ConfigurationSnapshot held = node.holder.held();
            assertWithMessage(label).that(held.version()).isAtLeast(node.lastHeld);
            if (!held.version().equals(ConfigurationVersion.none())) {
                assertWithMessage(label)
                        .that(held)
                        .isEqualTo(Samples.snapshot(held.version().number()));
            }
            node.lastHeld = held.version();
        }
    }

    void checkAllHold(long version) {
        nodes.values()
                .forEach(node -> assertWithMessage("%s, node %s", label, node.address)
                        .that(node.holder.version().number())
                        .isEqualTo(version));
    }
}
