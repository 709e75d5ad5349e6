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
    private static final int ZONE_PUSHES = 3;
    private static final int SMALL_ZONE_MEMBERS = 8;

    private final Membership membership;
    private final RandomGenerator random;

    Announcer(Membership membership, RandomGenerator random) {
        this.membership = membership;
        this.random = random;
    }

    /** Pushes the local record. */
    void announceLocal() {
        MemberTable table = membership.table();
        RecordDelta subject = table.localEntry().toDelta(membership.now());
        GossipMessage announce = new GossipMessage.Announce(membership.plainHeader(), subject, false);
        peersByZone(table).forEach((zone, members) -> {
            Distance distance = members.getFirst().locality().distanceTo(table.locality());
            membership.push(receivers(members, distance), distance, announce);
        });
    }

    /**
     * Takes in an announcement and forwards news from another zone within the own one.
     *
     * <p>To be called before the header is taken in, since the header of the first hop holds the same record.
     */
    void takeIn(GossipMessage.Announce announce) {
        boolean isNews = membership.absorb(List.of(announce.subject()));
        MemberTable table = membership.table();
        AvailabilityZone ownZone = table.locality().zone();
        if (isNews && !announce.isForwarded() && !announce.subject().zone().equals(ownZone)) {
            GossipMessage forwarded = new GossipMessage.Announce(membership.plainHeader(), announce.subject(), true);
            List<MemberRecord> own = peersByZone(table).getOrDefault(ownZone, List.of());
            membership.push(addresses(own), Distance.SAME_ZONE, forwarded);
        }
    }

    private List<Address> receivers(List<MemberRecord> members, Distance distance) {
        if (distance == Distance.SAME_ZONE || members.size() <= SMALL_ZONE_MEMBERS) {
            return addresses(members);
        }
        synchronized (random) {
            return addresses(ProbeOrder.pick(members, ZONE_PUSHES, random));
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
