package org.oleanderturn.membership;

import java.util.OptionalLong;
import org.oleanderturn.model.Locality;

/**
 * Tracks whether a network partition, rather than failed members, is suspected; separately for the local zone and for
 * all other zones together.
 *
 * <p>Such a group counts as isolated once more than half of its members became unreachable within
 * {@value #WINDOW_MILLISECONDS} ms; members lost earlier don't count. The unreachable members of an isolated group stay
 * in the endpoint view as a last resort. The isolation ends when at most half of the group is unreachable, or after
 * {@value #MAXIMUM_DURATION_MILLISECONDS} ms. Immutable and thread safe.
 *
 * @param localZoneSince when the local zone became isolated, in milliseconds of this node's clock; empty if it isn't
 * @param otherZonesSince when the other zones became isolated, in milliseconds of this node's clock; empty if they
 *     aren't
 */
record Isolation(OptionalLong localZoneSince, OptionalLong otherZonesSince) {
    static final long WINDOW_MILLISECONDS = 60_000;
    static final long MAXIMUM_DURATION_MILLISECONDS = 900_000;
    private static final int MINIMUM_UNREACHABLE = 2;
    private static final Isolation NONE = new Isolation(OptionalLong.empty(), OptionalLong.empty());

    static Isolation none() {
        return NONE;
    }

    // -- queries

    boolean isPresent() {
        return localZoneSince.isPresent() || otherZonesSince.isPresent();
    }

    /** Returns whether an unreachable member stays in the endpoint view. */
    boolean retains(MemberEntry entry, Locality local) {
        OptionalLong since = isInLocalZone(entry, local) ? localZoneSince : otherZonesSince;
        return since.isPresent() && isLostWithinWindow(entry, since.getAsLong());
    }

    // -- core operations

    /**
     * Returns the isolation that results from the current state of the members.
     *
     * @param members all members except the local one
     */
    Isolation reevaluate(Iterable<MemberEntry> members, Locality local, long nowMilliseconds) {
        OptionalLong localZone = reevaluate(members, local, true, localZoneSince, nowMilliseconds);
        OptionalLong otherZones = reevaluate(members, local, false, otherZonesSince, nowMilliseconds);
        return new Isolation(localZone, otherZones);
    }

    private static OptionalLong reevaluate(
            Iterable<MemberEntry> members, Locality local, boolean isLocalZone, OptionalLong since, long now) {
        if (since.isPresent() && now - since.getAsLong() >= MAXIMUM_DURATION_MILLISECONDS) {
            return OptionalLong.empty();
        }
        int reachable = 0;
        int unreachable = 0;
        for (MemberEntry entry : members) {
            if (isInLocalZone(entry, local) != isLocalZone) {
                continue;
            }
            reachable += entry.record().liveness().isReachable() ? 1 : 0;
            unreachable += isLostWithinWindow(entry, since.orElse(now)) ? 1 : 0;
        }
        if (unreachable < MINIMUM_UNREACHABLE || 2 * unreachable <= reachable + unreachable) {
            return OptionalLong.empty();
        }
        return since.isPresent() ? since : OptionalLong.of(now);
    }

    private static boolean isLostWithinWindow(MemberEntry entry, long sinceMilliseconds) {
        return entry.record().liveness() == Liveness.UNREACHABLE
                && entry.changedAtMilliseconds() > sinceMilliseconds - WINDOW_MILLISECONDS;
    }

    private static boolean isInLocalZone(MemberEntry entry, Locality local) {
        return entry.record().locality().distanceTo(local) == Locality.Distance.SAME_ZONE;
    }
}
