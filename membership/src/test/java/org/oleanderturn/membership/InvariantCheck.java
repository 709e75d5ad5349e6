package org.oleanderturn.membership;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.Map;
import org.oleanderturn.model.NodeId;

/** Checks that no member's table moves backwards between two steps, by comparing it with the table a step earlier. */
final class InvariantCheck {
    private final FakeNetwork network;
    private final String caseDescription;
    private final Map<FakeNetwork.Member, MemberTable> earlier = new HashMap<>();

    InvariantCheck(FakeNetwork network, String seed) {
        this.network = network;
        this.caseDescription = seed;
    }

    void check() {
        for (FakeNetwork.Member member : network.running()) {
            MemberTable now = member.table();
            MemberTable before = earlier.put(member, now);
            if (before != null) {
                check(member.node(), before, now);
            }
            boolean isAliveOrLeft =
                    now.local().liveness() == Liveness.ALIVE || now.local().liveness() == Liveness.LEFT;
            assertWithMessage("%s considers itself neither alive nor left, %s", member.node(), caseDescription)
                    .that(isAliveOrLeft)
                    .isTrue();
        }
    }

    private void check(NodeId observer, MemberTable before, MemberTable now) {
        for (MemberRecord previous : before.records()) {
            MemberRecord current = now.record(previous.node()).orElseThrow();
            String text = observer + " of " + previous + " then " + current + ", " + caseDescription;
            assertWithMessage("incarnation decreased: %s", text)
                    .that(current.incarnation())
                    .isAtLeast(previous.incarnation());
            if (current.incarnation() == previous.incarnation()) {
                checkSameIncarnation(text, previous, current);
            }
            assertWithMessage("highest known version decreased: %s", text)
                    .that(now.highestKnownVersion(previous.node()))
                    .isAtLeast(before.highestKnownVersion(previous.node()));
        }
        for (ZoneFloor floor : before.floors()) {
            assertWithMessage("zone floor decreased at %s, %s", observer, caseDescription)
                    .that(now.highestVersionInZone(floor.zone()))
                    .isAtLeast(floor.version());
        }
    }

    private static void checkSameIncarnation(String text, MemberRecord previous, MemberRecord current) {
        assertWithMessage("lost member returned within one incarnation: %s", text)
                .that(!previous.liveness().isReachable() && current.liveness().isReachable())
                .isFalse();
        assertWithMessage("endpoint state moved backwards: %s", text)
                .that(current.endpoint().state())
                .isAtLeast(previous.endpoint().state());
    }

    /** Checks that all running members hold the same records and the same endpoints. */
    void checkAgreement() {
        MemberTable first = network.running().getFirst().table();
        for (FakeNetwork.Member member : network.running()) {
            assertWithMessage("records of %s, %s", member.node(), caseDescription)
                    .that(describeRecords(member.table()))
                    .isEqualTo(describeRecords(first));
            assertWithMessage("endpoints of %s, %s", member.node(), caseDescription)
                    .that(member.table().endpointView().all())
                    .isEqualTo(first.endpointView().all());
            assertWithMessage("%s isolated, %s", member.node(), caseDescription)
                    .that(member.table().isIsolated())
                    .isFalse();
        }
    }

    private static String describeRecords(MemberTable table) {
        StringBuilder text = new StringBuilder();
        for (MemberRecord record : table.records()) {
            text.append(record.node())
                    .append(' ')
                    .append(record.incarnation())
                    .append(' ')
                    .append(record.liveness())
                    .append(' ')
                    .append(record.endpoint().state())
                    .append('\n');
        }
        return text.toString();
    }
}
