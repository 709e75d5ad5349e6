package org.oleanderturn.membership;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Locality.Distance;
import org.oleanderturn.model.NodeId;

/**
 * SWIM's failure detector: probes members, asks others to probe those that don't answer, and marks as suspect those
 * that can't be reached at all.
 *
 * <p>Invariant: a suspicion applies only to the incarnation that was probed. Used by one thread at a time.
 */
final class Prober {
    private final GossipContext context;
    private final RandomGenerator random;
    private final Map<Distance, ProbeOrder> probeOrders = new EnumMap<>(Distance.class);
    private final Map<Distance, JitteredTimer> timers = new EnumMap<>(Distance.class);

    Prober(GossipContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
        for (Distance distance : Distance.values()) {
            long interval = context.settings().probeIntervals().at(distance);
            probeOrders.put(distance, new ProbeOrder(random));
            timers.put(distance, new JitteredTimer(interval, context.now(), random));
        }
    }

    void tick() {
        for (Distance distance : Distance.values()) {
            long now = context.now();
            if (timers.get(distance).isDue(now)) {
                timers.get(distance).restart(context.settings().probeIntervals().at(distance), now);
                probeOrders.get(distance).next(peersAt(distance)).ifPresent(member -> probe(member, distance));
            }
        }
    }

    private List<MemberRecord> peersAt(Distance distance) {
        MemberTable table = context.table();
        return table.reachablePeers().stream()
                .filter(record -> record.locality().distanceTo(table.locality()) == distance)
                .toList();
    }

    private void probe(MemberRecord member, Distance distance) {
        GossipMessage ping = new GossipMessage.Ping(context.headerFor(member.node(), distance));
        if (isAnsweredBy(member.node(), context.send(member.controlAddress(), distance, ping))) {
            return;
        }
        if (isReachedIndirectly(member)) {
            return;
        }
        context.update(table -> table.markSuspect(member, context.now()));
    }

    private boolean isReachedIndirectly(MemberRecord member) {
        List<Address> helpers = helpersFor(member);
        if (helpers.isEmpty()) {
            return false;
        }
        GossipMessage request =
                new GossipMessage.PingRequest(context.minimalHeader(), member.node(), member.controlAddress());
        for (Either<GossipFailure, GossipMessage> answer : context.sendAll(helpers, Distance.SAME_REGION, request)) {
            if (answer.isRight() && answer.get() instanceof GossipMessage.Acknowledge reached && reached.isReached()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Selects members of the probed member's zone, and at least one of another, so that a partition between two zones
     * isn't mistaken for a failed member.
     */
    private List<Address> helpersFor(MemberRecord member) {
        List<MemberRecord> sameZone = new ArrayList<>();
        List<MemberRecord> otherZones = new ArrayList<>();
        for (MemberRecord peer : context.table().reachablePeers()) {
            if (peer.node().equals(member.node())) {
                continue;
            }
            boolean isSameZone = peer.locality().equals(member.locality());
            (isSameZone ? sameZone : otherZones).add(peer);
        }
        int count = context.settings().indirectProbes();
        List<MemberRecord> helpers = new ArrayList<>(ProbeOrder.sample(sameZone, count - 1, random));
        helpers.addAll(ProbeOrder.sample(otherZones, count - helpers.size(), random));
        return helpers.stream().map(MemberRecord::controlAddress).toList();
    }

    static boolean isAnsweredBy(NodeId target, Either<GossipFailure, GossipMessage> answer) {
        return answer.isRight() && answer.get().header().sender().node().equals(target);
    }
}
