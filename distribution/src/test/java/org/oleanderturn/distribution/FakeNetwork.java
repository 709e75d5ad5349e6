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

/** Joins spreaders by direct calls, scripts the fault of each message and checks every node after each. */
final class FakeNetwork {
    static final Region PLATFORM_REGION = Region.of("south");

    /** What befalls one message. */
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

    /** One node: what it holds and how it spreads it. */
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
                    holder, source, this, this, _ -> slot, locality, PLATFORM_REGION, new Random(random.nextLong()));
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
            boolean isContent =
                    message instanceof ConfigurationUpdate.Delta || message instanceof ConfigurationUpdate.Snapshot;
            boolean isAcross = !locality.region().equals(node.locality.region());
            crossRegionPayloads += isAcross && isContent ? 1 : 0;
        }

        private <T> Either<PeerFailure, T> call(Address peer, Function<Node, T> effect) {
            Node node = nodes.get(peer);
            Supplier<T> delivery = () -> {
                T answer = effect.apply(node);
                countPayload(node, answer);
                check();
                return answer;
            };
            Fault fault = faults.getOrDefault(messages++, Fault.NONE);
            if (isPartitioned.test(this, node) || node.isFrozen) {
                return Either.left(new PeerFailure.Unreachable("cut"));
            }
            return switch (fault) {
                case NONE -> Either.right(delivery.get());
                case UNREACHABLE -> Either.left(new PeerFailure.Unreachable("scripted"));
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

    // -- script

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

    /** Returns how many messages between regions carried the configuration or a part of it. */
    int crossRegionPayloads() {
        return crossRegionPayloads;
    }

    // -- time

    /** Runs what the nodes have to push and to fetch until there is nothing more. */
    void settle() {
        boolean isMore = true;
        for (int round = 0; isMore && round < 50; round++) {
            isMore = false;
            for (Node node : running()) {
                if (node.disseminator.isDisseminationDue()) {
                    node.disseminator.disseminate(nowMilliseconds);
                    isMore = true;
                }
            }
        }
    }

    /** Lets the given time pass in steps of half a second. */
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

    /** Checks that no node went back and that each holds an accepted configuration whole. */
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
