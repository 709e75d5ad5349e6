package org.oleanderturn.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.Locality.Distance;

/**
 * Broadcasts a change of the local member's state to all reachable members immediately, without waiting for gossip.
 *
 * <p>Every member of the local zone receives the announcement directly, but only a few members of a large remote zone
 * do. Receivers in a remote zone forward it within their zone, so that it crosses a link between zones only a few
 * times. Thread safe.
 */
final class Announcer {
    private static final int FORWARDERS_PER_ZONE = 3;

    /** In a remote zone with at most this many members, all of them receive the announcement directly. */
    private static final int MAXIMUM_DIRECT_RECEIVERS = 8;

    private final GossipContext context;
    private final RandomGenerator random;

    Announcer(GossipContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
    }

    /** Sends the local member's record to all zones. */
    void announceLocal() {
        MemberTable table = context.table();
        GossipRecord subject = table.localEntry().toGossipRecord(context.now());
        GossipMessage announce = new GossipMessage.Announce(context.minimalHeader(), subject, false);
        peersByZone(table).forEach((zone, members) -> {
            Distance distance = members.getFirst().locality().distanceTo(table.locality());
            context.push(receivers(members, distance), distance, announce);
        });
    }

    /**
     * Merges an announced record and, if it is new and comes from another zone, forwards it within the local zone.
     *
     * <p>Must be called before the message's header is merged: on the first hop the header contains the same record,
     * which would then no longer count as new.
     */
    void handle(GossipMessage.Announce announce) {
        boolean isNew = context.merge(List.of(announce.subject()));
        MemberTable table = context.table();
        AvailabilityZone localZone = table.locality().zone();
        if (isNew && !announce.isForwarded() && !announce.subject().zone().equals(localZone)) {
            GossipMessage forwarded = new GossipMessage.Announce(context.minimalHeader(), announce.subject(), true);
            List<MemberRecord> localMembers = peersByZone(table).getOrDefault(localZone, List.of());
            context.push(addresses(localMembers), Distance.SAME_ZONE, forwarded);
        }
    }

    private List<Address> receivers(List<MemberRecord> members, Distance distance) {
        if (distance == Distance.SAME_ZONE || members.size() <= MAXIMUM_DIRECT_RECEIVERS) {
            return addresses(members);
        }
        synchronized (random) {
            return addresses(ProbeOrder.sample(members, FORWARDERS_PER_ZONE, random));
        }
    }

    private static Map<AvailabilityZone, List<MemberRecord>> peersByZone(MemberTable table) {
        return table.reachablePeers().stream()
                .collect(Collectors.groupingBy(record -> record.locality().zone(), TreeMap::new, Collectors.toList()));
    }

    private static List<Address> addresses(List<MemberRecord> members) {
        return members.stream().map(MemberRecord::controlAddress).toList();
    }
}
