package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

final class LimitMembershipTest {
    private static final Locality LOCALITY = Locality.of("south", "hobart");
    private static final long STEP_NANOSECONDS = Duration.ofMillis(100).toNanos();

    private final AtomicLong now = new AtomicLong(1_000_000_000L);
    private final LimitMembership membership = new LimitMembership(NodeId.of("node-0"), LOCALITY, now::get);
    private final List<LimitMember> members = new ArrayList<>();
    private boolean isComplete = true;

    // Guards against a fleet that grants nothing for seconds after all nodes restarted and the last of them is known.
    @Test
    void shouldUseTheRightSoonAfterTheLastMemberWhenMembersComeOneAfterAnother() {
        for (int number = 0; number < 10; number++) {
            join(number);
            pass(Duration.ofMillis(500));
            assertThat(membership.isActive()).isFalse();
        }
        pass(Duration.ofMillis(1_200));
        assertThat(membership.isActive()).isTrue();
    }

    // Guards against a right that is used while an earlier process's delegation of it may still be.
    @Test
    void shouldNotUseTheRightWithinThreeSecondsOfTheStart() {
        join(0);
        pass(Duration.ofMillis(2_900));
        assertThat(membership.isActive()).isFalse();
        pass(Duration.ofMillis(300));
        assertThat(membership.isActive()).isTrue();
    }

    // Guards against refusals after a restart whose reason no log line tells.
    @Test
    void shouldNameTheFirstConditionThatDoesNotHold() {
        join(0);
        pass(Duration.ofMillis(2_900));
        assertThat(membership.hindrance()).isEqualTo(Optional.of(LimitHindrance.JUST_STARTED));
        isComplete = false;
        pass(Duration.ofMillis(300));
        assertThat(membership.hindrance()).isEqualTo(Optional.of(LimitHindrance.MEMBERS_MISSING));
        isComplete = true;
        join(1);
        pass(Duration.ofMillis(300));
        assertThat(membership.hindrance()).isEqualTo(Optional.of(LimitHindrance.MEMBERS_CHANGING));
        members.set(1, new LimitMember(NodeId.of("node-1"), LOCALITY, false, true));
        pass(Duration.ofMillis(1_500));
        assertThat(membership.hindrance()).isEqualTo(Optional.of(LimitHindrance.MEMBERS_UNREACHABLE));
        members.set(1, new LimitMember(NodeId.of("node-1"), LOCALITY, true, true));
        pass(Duration.ofMillis(200));
        assertThat(membership.hindrance()).isEqualTo(Optional.empty());
    }

    private void join(int number) {
        members.add(new LimitMember(NodeId.of("node-" + number), LOCALITY, true, true));
    }

    private void pass(Duration duration) {
        long end = now.get() + duration.toNanos();
        while (now.get() < end) {
            now.addAndGet(STEP_NANOSECONDS);
            membership.update(members, isComplete);
        }
    }
}
