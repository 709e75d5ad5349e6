package org.oleanderturn.membership;

import org.oleanderturn.model.ConfigurationVersion;

/**
 * A member's record with the local bookkeeping about it.
 *
 * <p>Invariant: the remembered version never decreases. Immutable and thread safe.
 *
 * @param changedAtMilliseconds when the liveness last changed or the suspicion timeout was restarted, by this node's
 *     clock
 * @param rememberedVersion the highest configuration version that the member is known to have held, in any incarnation
 */
record MemberEntry(MemberRecord record, long changedAtMilliseconds, ConfigurationVersion rememberedVersion) {
    private static final long MILLISECONDS_PER_SECOND = 1000;

    static MemberEntry of(MemberRecord record, long changedAtMilliseconds) {
        return new MemberEntry(record, changedAtMilliseconds, record.heldVersion());
    }

    static MemberEntry of(GossipRecord received, long nowMilliseconds) {
        MemberRecord record = received.toRecord();
        ConfigurationVersion remembered =
                ConfigurationVersion.newest(received.rememberedVersion(), received.heldVersion());
        return new MemberEntry(record, changedAt(received, nowMilliseconds), remembered);
    }

    /**
     * Merges a record received from another member. A member reported as unreachable becomes only a suspect here, so
     * that it can refute before it is dropped; after a partition the other side reports every member of this side as
     * unreachable.
     */
    MemberEntry mergeReport(GossipRecord received, long nowMilliseconds) {
        boolean isReportedUnreachable =
                received.liveness() == Liveness.UNREACHABLE && record.liveness().isReachable();
        return isReportedUnreachable
                ? merge(of(received, nowMilliseconds).asSuspect(nowMilliseconds))
                : merge(of(received, nowMilliseconds));
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

    private static long changedAt(GossipRecord received, long nowMilliseconds) {
        return received.liveness().isReachable()
                ? nowMilliseconds
                : nowMilliseconds - received.ageSeconds() * MILLISECONDS_PER_SECOND;
    }
}
