package org.oleanderturn.membership;

import org.oleanderturn.model.ConfigurationVersion;

/**
 * A member's record together with what this node alone knows of it.
 *
 * <p>Invariant: the remembered version never goes down. Immutable and thread safe.
 *
 * @param changedAtMilliseconds when the liveness took its present value, by this node's clock
 * @param rememberedVersion the highest version that the member was ever known to hold
 */
record MemberEntry(MemberRecord record, long changedAtMilliseconds, ConfigurationVersion rememberedVersion) {
    private static final long MILLISECONDS_PER_SECOND = 1000;

    static MemberEntry of(MemberRecord record, long changedAtMilliseconds) {
        return new MemberEntry(record, changedAtMilliseconds, record.heldVersion());
    }

    static MemberEntry of(GossipRecord delta, long nowMilliseconds) {
        MemberRecord record = delta.toRecord();
        ConfigurationVersion remembered = ConfigurationVersion.newest(delta.rememberedVersion(), delta.heldVersion());
        return new MemberEntry(record, changedAt(delta, nowMilliseconds), remembered);
    }

    /**
     * Takes in what another member says. That this member is unreachable makes it a suspect here, so that it can refute
     * before it is dropped, as after a partition in which the other side gave it up.
     */
    MemberEntry mergeReport(GossipRecord delta, long nowMilliseconds) {
        boolean isGivenUp =
                delta.liveness() == Liveness.UNREACHABLE && record.liveness().isReachable();
        return isGivenUp
                ? merge(of(delta, nowMilliseconds).asSuspect(nowMilliseconds))
                : merge(of(delta, nowMilliseconds));
    }

    private MemberEntry asSuspect(long nowMilliseconds) {
        return new MemberEntry(record.withLiveness(Liveness.SUSPECT), nowMilliseconds, rememberedVersion);
    }

    private MemberEntry merge(MemberEntry incoming) {
        MemberRecord merged = record.merge(incoming.record);
        boolean isUnchanged = merged.liveness() == record.liveness() && merged.incarnation() == record.incarnation();
        long changedAt = isUnchanged ? changedAtMilliseconds : incoming.changedAtMilliseconds;
        return new MemberEntry(
                merged, changedAt, ConfigurationVersion.newest(rememberedVersion, incoming.rememberedVersion));
    }

    MemberEntry withRecord(MemberRecord next, long nowMilliseconds) {
        long changedAt = next.liveness() == record.liveness() ? changedAtMilliseconds : nowMilliseconds;
        return new MemberEntry(next, changedAt, ConfigurationVersion.newest(rememberedVersion, next.heldVersion()));
    }

    MemberEntry withChangedAt(long milliseconds) {
        return new MemberEntry(record, milliseconds, rememberedVersion);
    }

    GossipRecord toGossipRecord(long nowMilliseconds) {
        long age = (nowMilliseconds - changedAtMilliseconds) / MILLISECONDS_PER_SECOND;
        return GossipRecord.of(record, rememberedVersion, record.liveness().isReachable() ? 0 : age);
    }

    private static long changedAt(GossipRecord delta, long nowMilliseconds) {
        return delta.liveness().isReachable()
                ? nowMilliseconds
                : nowMilliseconds - delta.ageSeconds() * MILLISECONDS_PER_SECOND;
    }
}
