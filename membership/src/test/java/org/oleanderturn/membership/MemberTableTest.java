package org.oleanderturn.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.ConfigurationVersion;

final class MemberTableTest {
    private static final long START = 1_000_000;
    private static final AvailabilityZone HOBART = AvailabilityZone.of("hobart");
    private static final MemberRecord LOCAL = FakeNetwork.record("local", "south", "hobart", 5);

    private static GossipRecord toGossipRecord(MemberRecord record) {
        return GossipRecord.of(record, record.heldVersion(), 0);
    }

    private static MemberTable tableOf(int ownZone, int otherZones) {
        MemberTable table = MemberTable.of(LOCAL, START);
        for (int index = 0; index < ownZone; index++) {
            table = table.merge(toGossipRecord(FakeNetwork.record("own" + index, "south", "hobart", 5)), START);
        }
        for (int index = 0; index < otherZones; index++) {
            table = table.merge(toGossipRecord(FakeNetwork.record("other" + index, "south", "huonville", 5)), START);
        }
        return table;
    }

    private static MemberTable loseMembers(MemberTable table, String prefix, int count, long now) {
        MemberTable after = table;
        List<MemberRecord> lost = new ArrayList<>(table.reachablePeers());
        lost.removeIf(record -> !record.node().value().startsWith(prefix));
        for (MemberRecord record : lost.subList(0, count)) {
            after = after.markSuspect(record, now);
        }
        return after.expireSuspicions(0, now).pruneAndReevaluateIsolation(now);
    }

    // -- tombstones

    @Test
    void shouldKeepMemberUnreachableWhenStaleRecordArrives() {
        MemberTable table = loseMembers(tableOf(9, 0), "own0", 1, START);
        GossipRecord staleRecord = toGossipRecord(FakeNetwork.record("own0", "south", "hobart", 5));
        long later = START + MemberTable.TOMBSTONE_RETENTION_MILLISECONDS - 1;
        MemberTable merged = table.merge(staleRecord, later).pruneAndReevaluateIsolation(later);
        assertThat(merged.record(staleRecord.node()).orElseThrow().liveness()).isEqualTo(Liveness.UNREACHABLE);
        assertThat(merged.endpointView().all()).hasSize(9);
        GossipRecord restarted = toGossipRecord(FakeNetwork.record("own0", "south", "hobart", 6));
        assertThat(merged.merge(restarted, later).endpointView().all()).hasSize(10);
    }

    @Test
    void shouldRemoveTombstoneAndKeepZoneFloorWhenRetentionExpires() {
        MemberRecord holder =
                FakeNetwork.record("own0", "south", "hobart", 5).withHeldVersion(ConfigurationVersion.of(4));
        MemberTable table = loseMembers(tableOf(9, 0).merge(toGossipRecord(holder), START), "own0", 1, START);
        MemberTable later = table.pruneAndReevaluateIsolation(START + MemberTable.TOMBSTONE_RETENTION_MILLISECONDS);
        assertThat(later.record(holder.node()).isPresent()).isFalse();
        assertThat(later.highestVersionInZone(HOBART)).isEqualTo(ConfigurationVersion.of(4));
    }

    @Test
    void shouldNotExtendTombstoneWhenForwardedByAnotherMember() {
        MemberTable table = loseMembers(tableOf(9, 0), "own0", 1, START);
        long nearExpiry = START + MemberTable.TOMBSTONE_RETENTION_MILLISECONDS - 10_000;
        GossipRecord forwarded =
                table.entry(FakeNetwork.node("own0")).orElseThrow().toGossipRecord(nearExpiry);
        MemberTable other = MemberTable.of(FakeNetwork.record("new", "south", "hobart", 5), nearExpiry)
                .merge(forwarded, nearExpiry);
        assertThat(other.record(forwarded.node()).isPresent()).isTrue();
        assertThat(other.pruneAndReevaluateIsolation(nearExpiry + 10_000)
                        .record(forwarded.node())
                        .isPresent())
                .isFalse();
    }

    // -- refutation

    @Test
    void shouldRefuteWithHigherIncarnationWhenRecordOfLocalMemberDiffers() {
        MemberTable table = tableOf(2, 2);
        MemberTable refuted = table.merge(toGossipRecord(LOCAL.withLiveness(Liveness.SUSPECT)), START);
        assertThat(refuted.local().incarnation()).isEqualTo(6);
        assertThat(refuted.local().liveness()).isEqualTo(Liveness.ALIVE);
        MemberRecord leftRecord = FakeNetwork.record("local", "south", "hobart", 90)
                .withLiveness(Liveness.LEFT)
                .withHeldVersion(ConfigurationVersion.of(8));
        MemberTable refutedAgain = refuted.merge(toGossipRecord(leftRecord), START);
        assertThat(refutedAgain.local().incarnation()).isEqualTo(91);
        assertThat(refutedAgain.local().heldVersion()).isEqualTo(ConfigurationVersion.none());
        assertThat(refutedAgain.highestKnownVersion(LOCAL.node())).isEqualTo(ConfigurationVersion.of(8));
        assertThat(refutedAgain.merge(toGossipRecord(LOCAL), START)).isSameInstanceAs(refutedAgain);
    }

    @Test
    void shouldOnlySuspectWhenAnotherMemberReportsUnreachable() {
        MemberTable table = tableOf(2, 2);
        MemberRecord unreachable = table.reachablePeers().getFirst().withLiveness(Liveness.UNREACHABLE);
        MemberTable merged = table.merge(toGossipRecord(unreachable), START);
        assertThat(merged.record(unreachable.node()).orElseThrow().liveness()).isEqualTo(Liveness.SUSPECT);
        assertThat(merged.endpointView().all()).hasSize(5);
    }

    // -- many members lost at once

    @Test
    void shouldDropUnreachableMembersWhenAtMostHalfOfGroupIsLost() {
        MemberTable table = loseMembers(tableOf(4, 4), "other", 2, START);
        assertThat(table.isIsolated()).isFalse();
        assertThat(table.endpointView().all()).hasSize(7);
    }

    @Test
    void shouldKeepEndpointsWhenMoreThanHalfOfGroupIsLostAtOnce() {
        MemberTable others = loseMembers(tableOf(4, 4), "other", 3, START);
        assertThat(others.isIsolated()).isTrue();
        assertThat(others.endpointView().all()).hasSize(9);
        assertThat(others.isLastResort(FakeNetwork.node("other0"))).isTrue();
        assertThat(others.isLastResort(FakeNetwork.node("other3"))).isFalse();
        MemberTable own = loseMembers(tableOf(4, 4), "own", 4, START);
        assertThat(own.isIsolated()).isTrue();
        assertThat(own.endpointView().all()).hasSize(9);
    }

    @Test
    void shouldRestoreEarlierLostEndpointsWhenMoreAreLostWithinWindow() {
        MemberTable first = loseMembers(tableOf(0, 4), "other", 2, START);
        assertThat(first.endpointView().all()).hasSize(3);
        MemberTable withinWindow = loseMembers(first, "other", 1, START + Isolation.WINDOW_MILLISECONDS - 1);
        assertThat(withinWindow.endpointView().all()).hasSize(5);
        MemberTable afterWindow = loseMembers(first, "other", 1, START + Isolation.WINDOW_MILLISECONDS);
        assertThat(afterWindow.endpointView().all()).hasSize(2);
    }

    @Test
    void shouldEndIsolationWhenHalfIsReachableOrMaximumDurationPasses() {
        MemberTable lost = loseMembers(tableOf(0, 4), "other", 3, START);
        GossipRecord restarted = toGossipRecord(FakeNetwork.record("other0", "south", "huonville", 6));
        MemberTable recovered = lost.merge(restarted, START + 1).pruneAndReevaluateIsolation(START + 1);
        assertThat(recovered.isIsolated()).isFalse();
        assertThat(recovered.endpointView().all()).hasSize(3);
        long end = START + Isolation.MAXIMUM_DURATION_MILLISECONDS;
        assertThat(lost.pruneAndReevaluateIsolation(end - 1).isIsolated()).isTrue();
        assertThat(lost.pruneAndReevaluateIsolation(end).isIsolated()).isFalse();
        assertThat(lost.pruneAndReevaluateIsolation(end).endpointView().all()).hasSize(2);
    }
}
