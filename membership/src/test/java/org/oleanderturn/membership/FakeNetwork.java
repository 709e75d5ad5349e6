package org.oleanderturn.membership;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;

/**
 * A simulated cluster whose network loses, delays, duplicates and reorders messages and partitions zones, all from one
 * random seed.
 *
 * <p>Every message is encoded and decoded. Single threaded.
 */
final class FakeNetwork {
    static final long STEP_MILLISECONDS = 200;

    final Map<NodeId, Member> members = new TreeMap<>();
    final Set<NodeId> frozen = new HashSet<>();
    final Set<NodeId> dead = new HashSet<>();
    final RandomGenerator random;
    final GossipSettings settings;
    private final List<DelayedMessage> delayedMessages = new ArrayList<>();
    private final Set<List<String>> cuts = new HashSet<>();
    long nowMilliseconds = 1_000_000;
    Predicate<GossipMessage> faultFilter = message -> true;
    double lossRate;
    double answerLossRate;
    double delayRate;
    double duplicateRate;
    int announcementsBetweenZones;

    FakeNetwork(RandomGenerator random, GossipSettings settings) {
        this.random = random;
        this.settings = settings;
    }

    // -- members

    static NodeId node(String name) {
        return NodeId.of(name);
    }

    Member start(String name, String region, String zone, long incarnation) {
        dead.remove(node(name));
        frozen.remove(node(name));
        return start(MemberTable.of(record(name, region, zone, incarnation), nowMilliseconds));
    }

    static MemberRecord record(String name, String region, String zone, long incarnation) {
        Endpoint endpoint = new Endpoint(
                node(name),
                Address.of("10.0.0.1", 8_000 + Math.floorMod(name.hashCode(), 1_000)),
                Locality.of(region, zone),
                ServiceName.of("bookings"),
                10,
                EndpointState.READY,
                incarnation);
        return MemberRecord.of(endpoint, Address.of(name + ".host", 7_000));
    }

    Member member(String name) {
        return members.get(node(name));
    }

    List<Member> running() {
        return members.values().stream()
                .filter(member -> !dead.contains(member.node()) && !frozen.contains(member.node()))
                .toList();
    }

    // -- faults

    void cut(String zone, String otherZone) {
        cuts.add(List.of(zone, otherZone));
        cuts.add(List.of(otherZone, zone));
    }

    void heal() {
        cuts.clear();
        faultFilter = message -> true;
        lossRate = 0;
        answerLossRate = 0;
        delayRate = 0;
        duplicateRate = 0;
    }

    // -- time

    /** Advances the clock in steps; in each, delayed messages arrive and all running members tick, in random order. */
    void run(long milliseconds, Runnable check) {
        long end = nowMilliseconds + milliseconds;
        while (nowMilliseconds < end) {
            nowMilliseconds += STEP_MILLISECONDS;
            deliverDelayed();
            List<Member> order = new ArrayList<>(running());
            ProbeOrder.shuffle(order, random);
            order.forEach(member -> member.gossip.tick());
            check.run();
        }
    }

    private void deliverDelayed() {
        List<DelayedMessage> dueMessages = new ArrayList<>(delayedMessages.stream()
                .filter(message -> message.dueMilliseconds() <= nowMilliseconds)
                .toList());
        delayedMessages.removeAll(dueMessages);
        ProbeOrder.shuffle(dueMessages, random);
        dueMessages.forEach(message -> deliver(message.receiver(), message.message()));
    }

    private void deliver(NodeId receiver, GossipMessage message) {
        if (!dead.contains(receiver) && !frozen.contains(receiver)) {
            members.get(receiver).gossip.receive(message);
        }
    }

    // -- messages

    private Either<GossipFailure, GossipMessage> exchange(Member sender, Address address, GossipMessage message) {
        GossipMessage sent = encodeAndDecode(message);
        sender.sentBytes += Codec.messagePack().encode(message).length;
        Member receiver = members.get(node(address.host().replace(".host", "")));
        if (receiver != null
                && message instanceof GossipMessage.Announce
                && !sender.zone().equals(receiver.zone())) {
            announcementsBetweenZones++;
        }
        if (receiver == null || isCut(sender, receiver) || isAffected(sent, lossRate)) {
            return Either.left(new GossipFailure.Unreachable(address, "message lost"));
        }
        if (isAffected(sent, delayRate)) {
            delayedMessages.add(new DelayedMessage(receiver.node(), sent, nowMilliseconds + random.nextLong(10_000)));
            return Either.left(new GossipFailure.AnswerLost(address, "delayed"));
        }
        if (isAffected(sent, duplicateRate)) {
            delayedMessages.add(new DelayedMessage(receiver.node(), sent, nowMilliseconds + random.nextLong(10_000)));
        }
        GossipMessage answer = encodeAndDecode(receiver.gossip.receive(sent));
        receiver.sentBytes += Codec.messagePack().encode(answer).length;
        if (isAffected(sent, answerLossRate)) {
            return Either.left(new GossipFailure.AnswerLost(address, "answer lost"));
        }
        return Either.right(answer);
    }

    private boolean isCut(Member sender, Member receiver) {
        return dead.contains(receiver.node())
                || frozen.contains(receiver.node())
                || cuts.contains(List.of(sender.zone(), receiver.zone()));
    }

    private boolean isAffected(GossipMessage message, double rate) {
        return random.nextDouble() < rate && faultFilter.test(message);
    }

    private static GossipMessage encodeAndDecode(GossipMessage message) {
        byte[] bytes = Codec.messagePack().encode(message);
        return Codec.messagePack()
                .decode(bytes, GossipMessage.class)
                .getOrElseThrow(failure -> new AssertionError(failure));
    }

    private record DelayedMessage(NodeId receiver, GossipMessage message, long dueMilliseconds) {}

    /** Starts a member with the given table. */
    Member start(MemberTable table) {
        Member member = new Member(table, this);
        members.put(member.node(), member);
        return member;
    }

    /** One process of a node. */
    static final class Member {
        final Gossip gossip;
        private final MemberRecord initialRecord;
        private final FakeNetwork network;
        private final long startedMilliseconds;
        long sentBytes;
        int listenerCalls;

        private Member(MemberTable table, FakeNetwork network) {
            this.initialRecord = table.local();
            this.network = network;
            this.startedMilliseconds = network.nowMilliseconds;
            this.gossip = Gossip.of(
                    table,
                    network.settings,
                    (address, message) -> network.exchange(this, address, message),
                    () -> network.nowMilliseconds,
                    network.random,
                    () -> listenerCalls++);
        }

        NodeId node() {
            return initialRecord.node();
        }

        /** Returns whether the process started so recently that others may not know it yet. */
        boolean isNewlyStarted() {
            return network.nowMilliseconds - startedMilliseconds < 30_000;
        }

        String zone() {
            return initialRecord.locality().zone().value();
        }

        Address controlAddress() {
            return initialRecord.controlAddress();
        }

        MemberTable table() {
            return gossip.table();
        }

        void advanceHeldVersion(long version) {
            gossip.advanceHeldVersion(ConfigurationVersion.of(version));
        }
    }
}
