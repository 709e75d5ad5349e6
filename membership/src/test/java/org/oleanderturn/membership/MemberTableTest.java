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
    void shouldNotBringADeadMemberBackWhenAnOldRecordArrives() {
        MemberTable table = loseMembers(tableOf(9, 0), "own0", 1, START);
        GossipRecord old = toGossipRecord(FakeNetwork.record("own0", "south", "hobart", 5));
        long later = START + MemberTable.TOMBSTONE_RETENTION_MILLISECONDS - 1;
        MemberTable merged = table.merge(old, later).pruneAndReevaluateIsolation(later);
        assertThat(merged.record(old.node()).orElseThrow().liveness()).isEqualTo(Liveness.UNREACHABLE);
        assertThat(merged.endpointView().all()).hasSize(9);
        GossipRecord restarted = toGossipRecord(FakeNetwork.record("own0", "south", "hobart", 6));
        assertThat(merged.merge(restarted, later).endpointView().all()).hasSize(10);
    }

    @Test
    void shouldDropATombstoneAndKeepTheZoneFloorWhenItsTimeIsOver() {
        MemberRecord holder =
                FakeNetwork.record("own0", "south", "hobart", 5).withHeldVersion(ConfigurationVersion.of(4));
        MemberTable table = loseMembers(tableOf(9, 0).merge(toGossipRecord(holder), START), "own0", 1, START);
        MemberTable later = table.pruneAndReevaluateIsolation(START + MemberTable.TOMBSTONE_RETENTION_MILLISECONDS);
        assertThat(later.record(holder.node()).isPresent()).isFalse();
        assertThat(later.highestVersionInZone(HOBART)).isEqualTo(ConfigurationVersion.of(4));
    }

    @Test
    void shouldNotStartATombstoneAnewWhenItPassesThroughAnotherMember() {
        MemberTable table = loseMembers(tableOf(9, 0), "own0", 1, START);
        long almost = START + MemberTable.TOMBSTONE_RETENTION_MILLISECONDS - 10_000;
        GossipRecord passedOn =
                table.entry(FakeNetwork.node("own0")).orElseThrow().toGossipRecord(almost);
        MemberTable other = MemberTable.of(FakeNetwork.record("new", "south", "hobart", 5), almost)
                .merge(passedOn, almost);
        assertThat(other.record(passedOn.node()).isPresent()).isTrue();
        assertThat(other.pruneAndReevaluateIsolation(almost + 10_000)
                        .record(passedOn.node())
                        .isPresent())
                .isFalse();
    }

    // -- refutation

    @Test
    void shouldRefuteByAHigherIncarnationWhenAnythingIsSaidOfTheLocalMember() {
        MemberTable table = tableOf(2, 2);
        MemberTable refuted = table.merge(toGossipRecord(LOCAL.withLiveness(Liveness.SUSPECT)), START);
        assertThat(refuted.local().incarnation()).isEqualTo(6);
        assertThat(refuted.local().liveness()).isEqualTo(Liveness.ALIVE);
        MemberRecord dead = FakeNetwork.record("local", "south", "hobart", 90)
                .withLiveness(Liveness.LEFT)
                .withHeldVersion(ConfigurationVersion.of(8));
        MemberTable outbid = refuted.merge(toGossipRecord(dead), START);
        assertThat(outbid.local().incarnation()).isEqualTo(91);
        assertThat(outbid.local().heldVersion()).isEqualTo(ConfigurationVersion.none());
        assertThat(outbid.highestKnownVersion(LOCAL.node())).isEqualTo(ConfigurationVersion.of(8));
        assertThat(outbid.merge(toGossipRecord(LOCAL), START)).isSameInstanceAs(outbid);
    }

    @Test
    void shouldSuspectFirstWhenAnotherMemberSaysThatOneIsUnreachable() {
        MemberTable table = tableOf(2, 2);
        MemberRecord givenUp = table.reachablePeers().getFirst().withLiveness(Liveness.UNREACHABLE);
        MemberTable heard = table.merge(toGossipRecord(givenUp), START);
        assertThat(heard.record(givenUp.node()).orElseThrow().liveness()).isEqualTo(Liveness.SUSPECT);
        assertThat(heard.endpointView().all()).hasSize(5);
    }

    // -- many members lost at once

    @Test
    void shouldDropTheLostWhenTheyAreNoMoreThanHalf() {
        MemberTable table = loseMembers(tableOf(4, 4), "other", 2, START);
        assertThat(table.isIsolated()).isFalse();
        assertThat(table.endpointView().all()).hasSize(7);
    }

    @Test
    void shouldKeepTheLastViewWhenMoreThanHalfOfAGroupIsLostAtOnce() {
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
    void shouldBringBackTheFirstLostWhenTheRestFollowsWithinTheWindow() {
        MemberTable first = loseMembers(tableOf(0, 4), "other", 2, START);
        assertThat(first.endpointView().all()).hasSize(3);
        MemberTable soon = loseMembers(first, "other", 1, START + Isolation.WINDOW_MILLISECONDS - 1);
        assertThat(soon.endpointView().all()).hasSize(5);
        MemberTable late = loseMembers(first, "other", 1, START + Isolation.WINDOW_MILLISECONDS);
        assertThat(late.endpointView().all()).hasSize(2);
    }

    @Test
    void shouldEndTheIsolationWhenHalfIsBackOrTheTimeIsOver() {
        MemberTable lost = loseMembers(tableOf(0, 4), "other", 3, START);
        GossipRecord back = toGossipRecord(FakeNetwork.record("other0", "south", "huonville", 6));
        MemberTable healed = lost.merge(back, START + 1).pruneAndReevaluateIsolation(START + 1);
        assertThat(healed.isIsolated()).isFalse();
        assertThat(healed.endpointView().all()).hasSize(3);
        long end = START + Isolation.MAXIMUM_DURATION_MILLISECONDS;
        assertThat(lost.pruneAndReevaluateIsolation(end - 1).isIsolated()).isTrue();
        assertThat(lost.pruneAndReevaluateIsolation(end).isIsolated()).isFalse();
        assertThat(lost.pruneAndReevaluateIsolation(end).endpointView().all()).hasSize(2);
    }
}
