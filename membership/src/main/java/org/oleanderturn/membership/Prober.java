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
 * Finds members that do not answer: probes them, has others probe them, and suspects those that nobody reached.
 *
 * <p>Invariant: a member is suspected only in the incarnation that was probed. Used by one thread at a time.
 */
final class Prober {
    private final Membership membership;
    private final RandomGenerator random;
    private final Map<Distance, ProbeOrder> orders = new EnumMap<>(Distance.class);
    private final Map<Distance, DueTime> due = new EnumMap<>(Distance.class);

    Prober(Membership membership, RandomGenerator random) {
        this.membership = membership;
        this.random = random;
        for (Distance distance : Distance.values()) {
            long interval = membership.settings().probe().at(distance);
            orders.put(distance, new ProbeOrder(random));
            due.put(distance, new DueTime(interval, membership.now(), random));
        }
    }

    void tick() {
        for (Distance distance : Distance.values()) {
            long now = membership.now();
            if (due.get(distance).isDue(now)) {
                due.get(distance).restart(membership.settings().probe().at(distance), now);
                orders.get(distance).next(peersAt(distance)).ifPresent(member -> probe(member, distance));
            }
        }
    }

    private List<MemberRecord> peersAt(Distance distance) {
        MemberTable table = membership.table();
        return table.reachablePeers().stream()
                .filter(record -> record.locality().distanceTo(table.locality()) == distance)
                .toList();
    }

    private void probe(MemberRecord member, Distance distance) {
        GossipMessage ping = new GossipMessage.Ping(membership.headerFor(member.node(), distance));
        if (isReached(member.node(), membership.send(member.controlAddress(), distance, ping))) {
            return;
        }
        if (isReachedIndirectly(member)) {
            return;
        }
        membership.update(table -> table.suspect(member, membership.now()));
    }

    private boolean isReachedIndirectly(MemberRecord member) {
        List<Address> helpers = helpersFor(member);
        if (helpers.isEmpty()) {
            return false;
        }
        GossipMessage request =
                new GossipMessage.PingRequest(membership.plainHeader(), member.node(), member.controlAddress());
        for (Either<PeerFailure, GossipMessage> answer : membership.sendAll(helpers, Distance.SAME_REGION, request)) {
            if (answer.isRight() && answer.get() instanceof GossipMessage.Acknowledge reached && reached.isReached()) {
                return true;
            }
        }
        return false;
    }

    /** Picks helpers in the member's zone first, then one elsewhere, so that a cut between two zones is seen as such. */
    private List<Address> helpersFor(MemberRecord member) {
        List<MemberRecord> near = new ArrayList<>();
        List<MemberRecord> elsewhere = new ArrayList<>();
        for (MemberRecord peer : membership.table().reachablePeers()) {
            if (peer.node().equals(member.node())) {
                continue;
            }
            boolean isNear = peer.locality().equals(member.locality());
            (isNear ? near : elsewhere).add(peer);
        }
        int count = membership.settings().indirectProbes();
        List<MemberRecord> helpers = new ArrayList<>(ProbeOrder.pick(near, count - 1, random));
        helpers.addAll(ProbeOrder.pick(elsewhere, count - helpers.size(), random));
        return helpers.stream().map(MemberRecord::controlAddress).toList();
    }

    static boolean isReached(NodeId target, Either<PeerFailure, GossipMessage> answer) {
        return answer.isRight() && answer.get().header().sender().node().equals(target);
    }
}
