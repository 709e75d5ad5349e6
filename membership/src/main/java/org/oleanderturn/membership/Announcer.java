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
 * Pushes the local member's change of state to all reachable members at once.
 *
 * <p>The announcement goes to every member of the own zone and to a few of each other zone, which forward it within
 * theirs, so that it crosses a link between zones a few times only. Thread safe.
 */
final class Announcer {
    private static final int FORWARDERS_PER_ZONE = 3;
    private static final int MAXIMUM_DIRECT_RECEIVERS = 8;

    private final GossipContext context;
    private final RandomGenerator random;

    Announcer(GossipContext membership, RandomGenerator random) {
        this.context = membership;
        this.random = random;
    }

    /** Pushes the local record. */
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
     * Takes in an announcement and forwards news from another zone within the own one.
     *
     * <p>To be called before the header is taken in, since the header of the first hop holds the same record.
     */
    void handle(GossipMessage.Announce announce) {
        boolean isNews = context.merge(List.of(announce.subject()));
        MemberTable table = context.table();
        AvailabilityZone ownZone = table.locality().zone();
        if (isNews && !announce.isForwarded() && !announce.subject().zone().equals(ownZone)) {
            GossipMessage forwarded = new GossipMessage.Announce(context.minimalHeader(), announce.subject(), true);
            List<MemberRecord> own = peersByZone(table).getOrDefault(ownZone, List.of());
            context.push(addresses(own), Distance.SAME_ZONE, forwarded);
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
