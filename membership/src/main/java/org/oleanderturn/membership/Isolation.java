package org.oleanderturn.membership;

import java.util.OptionalLong;
import org.oleanderturn.model.Locality;

/**
 * Says for the own zone and for all other zones together whether the network is suspected rather than the members.
 *
 * <p>A group is isolated from the time when more than half of it became unreachable within
 * {@value #WINDOW_MILLISECONDS} ms. Its unreachable members then stay in the endpoint view, as a last resort. That ends
 * when no more than half of the group is unreachable, or after {@value #MAXIMUM_MILLISECONDS} ms. Immutable and thread
 * safe.
 *
 * @param ownZoneSince when the own zone became isolated, in milliseconds of this node's clock
 * @param otherZonesSince when the other zones became isolated, in milliseconds of this node's clock
 */
record Isolation(OptionalLong ownZoneSince, OptionalLong otherZonesSince) {
    static final long WINDOW_MILLISECONDS = 60_000;
    static final long MAXIMUM_DURATION_MILLISECONDS = 900_000;
    private static final int MINIMUM_UNREACHABLE = 2;
    private static final Isolation NONE = new Isolation(OptionalLong.empty(), OptionalLong.empty());

    static Isolation none() {
        return NONE;
    }

    // -- queries

    boolean isPresent() {
        return ownZoneSince.isPresent() || otherZonesSince.isPresent();
    }

    /** Returns whether an unreachable member is to stay in the endpoint view. */
    boolean retains(MemberEntry entry, Locality local) {
        OptionalLong since = isOwnZone(entry, local) ? ownZoneSince : otherZonesSince;
        return since.isPresent() && isLostWithinWindow(entry, since.getAsLong());
    }

    // -- core operations

    /** Returns the isolation that follows from the members as they stand now; the local member is not among them. */
    Isolation reevaluate(Iterable<MemberEntry> members, Locality local, long nowMilliseconds) {
        OptionalLong ownZone = reevaluate(members, local, true, ownZoneSince, nowMilliseconds);
        OptionalLong otherZones = reevaluate(members, local, false, otherZonesSince, nowMilliseconds);
        return new Isolation(ownZone, otherZones);
    }

    private static OptionalLong reevaluate(
            Iterable<MemberEntry> members, Locality local, boolean isOwn, OptionalLong since, long now) {
        if (since.isPresent() && now - since.getAsLong() >= MAXIMUM_DURATION_MILLISECONDS) {
            return OptionalLong.empty();
        }
        int reachable = 0;
        int lost = 0;
        for (MemberEntry entry : members) {
            if (isOwnZone(entry, local) != isOwn) {
                continue;
            }
            reachable += entry.record().liveness().isReachable() ? 1 : 0;
            lost += isLostWithinWindow(entry, since.orElse(now)) ? 1 : 0;
        }
        if (lost < MINIMUM_UNREACHABLE || 2 * lost <= reachable + lost) {
            return OptionalLong.empty();
        }
        return since.isPresent() ? since : OptionalLong.of(now);
    }

    private static boolean isLostWithinWindow(MemberEntry entry, long sinceMilliseconds) {
        return entry.record().liveness() == Liveness.UNREACHABLE
                && entry.changedAtMilliseconds() > sinceMilliseconds - WINDOW_MILLISECONDS;
    }

    private static boolean isOwnZone(MemberEntry entry, Locality local) {
        return entry.record().locality().distanceTo(local) == Locality.Distance.SAME_ZONE;
    }
}
