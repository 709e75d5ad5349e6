package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RolloutOrder;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.SoftwareVersion;
import org.oleanderturn.traffic.RolloutPace;
import org.oleanderturn.traffic.RolloutStage;

/** Guards which targets an entry uses in each stage. */
final class ServiceRolloutTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final RolloutPace PACE = new RolloutPace(0.1, 50, Duration.ofSeconds(5));
    private static final Endpoint CURRENT = endpoint("a", Optional.of("v1"));
    private static final Endpoint NEXT = endpoint("b", Optional.of("v2"));
    private static final Endpoint LATER = endpoint("c", Optional.of("v3"));
    private static final List<Endpoint> BOTH = List.of(CURRENT, NEXT);
    private static final int REQUESTS = 1_000;

    private long now;
    private List<Endpoint> known = BOTH;
    private final RolloutEntry entry =
            new RolloutEntry(NodeId.of("self"), PACE, () -> EndpointView.of(known), () -> 100, () -> now);

    private static Endpoint endpoint(String node, Optional<String> version) {
        return new Endpoint(
                NodeId.of(node),
                Address.of("10.0.0.1", 80),
                Locality.of("south", "zone"),
                SERVICE,
                6,
                EndpointState.READY,
                1,
                version.map(SoftwareVersion::of));
    }

    private void direct(RolloutStage stage, boolean isSettled, long revision) {
        RolloutOrder order = new RolloutOrder(SERVICE, SoftwareVersion.of("v2"), 12_000, revision);
        entry.apply(List.of(new RolloutDirective(order, stage, true, isSettled, 0)), now);
    }

    private int sentToNext() {
        int sent = 0;
        for (int count = 0; count < REQUESTS; count++) {
            sent += entry.eligible(SERVICE, known, true).contains(NEXT) ? 1 : 0;
        }
        return sent;
    }

    /** An ordinary release has targets of two versions, too. */
    @Test
    void shouldUseAllTargetsWhenThereIsNoOrder() {
        assertThat(entry.eligible(SERVICE, BOTH, true)).isEqualTo(BOTH);
        assertThat(entry.reports().reports()).isEmpty();
    }

    @Test
    void shouldSendTheShareOfTheStageWhenTheJudgeAnswers() {
        direct(RolloutStage.CANARY, false, 1);
        assertThat(sentToNext()).isIn(com.google.common.collect.Range.closed(85, 91));
        direct(RolloutStage.HALF, false, 1);
        assertThat(sentToNext()).isIn(com.google.common.collect.Range.closed(499, 501));
        direct(RolloutStage.ALL, false, 1);
        assertThat(sentToNext()).isEqualTo(REQUESTS);
        assertThat(entry.eligible(SERVICE, BOTH, false)).containsExactly(NEXT);
    }

    /** A node that is cut off can't learn that the version is bad. */
    @Test
    void shouldUseOnlyOldTargetsWhenTheJudgeHasNotAnsweredForAWhile() {
        direct(RolloutStage.ALL, false, 1);
        now += PACE.validity().toNanos();
        assertThat(sentToNext()).isEqualTo(0);
        assertThat(entry.eligible(SERVICE, BOTH, false)).containsExactly(CURRENT);
    }

    @Test
    void shouldNeverUseNewTargetsWhenTheVersionIsRolledBack() {
        direct(RolloutStage.ROLLED_BACK, false, 1);
        direct(RolloutStage.CANARY, false, 1);
        assertThat(sentToNext()).isEqualTo(0);
        assertThat(entry.eligible(SERVICE, List.of(NEXT), true)).isEmpty();
        direct(RolloutStage.COMPLETED, true, 1);
        assertThat(sentToNext()).isEqualTo(REQUESTS);
    }

    @Test
    void shouldNeverUseOldTargetsWhenTheRolloutIsCompleted() {
        direct(RolloutStage.COMPLETED, true, 1);
        now += TimeUnit.HOURS.toNanos(1);
        assertThat(entry.eligible(SERVICE, BOTH, true)).containsExactly(NEXT);
        assertThat(entry.eligible(SERVICE, List.of(CURRENT), false)).isEmpty();
    }

    /** Otherwise the next ordinary release would get no requests before all of its targets had started. */
    @Test
    void shouldUseTargetsOfALaterReleaseWhenTheRolloutWasCompletedBefore() {
        direct(RolloutStage.COMPLETED, true, 1);
        known = List.of(NEXT, LATER);
        direct(RolloutStage.COMPLETED, true, 1);
        assertThat(entry.eligible(SERVICE, known, true)).isEqualTo(known);
    }

    @Test
    void shouldStartAgainWhenTheOrderIsReplacedAndEndWhenItIsRemoved() {
        direct(RolloutStage.ROLLED_BACK, true, 1);
        direct(RolloutStage.CANARY, false, 2);
        assertThat(sentToNext()).isAtLeast(85);
        direct(RolloutStage.COMPLETED, true, 1);
        assertThat(entry.eligible(SERVICE, BOTH, false)).containsExactly(CURRENT);
        entry.apply(List.of(), now);
        assertThat(entry.eligible(SERVICE, BOTH, true)).isEqualTo(BOTH);
    }

    @Test
    void shouldFindSeveralVersionsWhenTargetsOfOneServiceDiffer() {
        assertThat(entry.hasSeveralVersions()).isTrue();
        known = List.of(NEXT, endpoint("d", Optional.of("v2")), endpoint("e", Optional.empty()));
        assertThat(entry.hasSeveralVersions()).isFalse();
    }

    // -- the judge that an entry asks

    /** Entries that stay with different judges leave none with the reports of more than half of the nodes. */
    @Test
    void shouldAskThePreferredJudgeAgainWhenOneNodeWasSilentForAWhile() {
        JudgeChoice choice = new JudgeChoice();
        List<NodeId> nodes = List.of(NodeId.of("c"), NodeId.of("b"), NodeId.of("a"));
        for (int attempt = 0; attempt < 3; attempt++) {
            assertThat(choice.choose(nodes)).isEqualTo(NodeId.of("c"));
            choice.recordSilence();
        }
        for (int round = 0; round < 2; round++) {
            for (int answer = 0; answer < 4; answer++) {
                assertThat(choice.choose(nodes)).isEqualTo(NodeId.of("b"));
                choice.recordAnswer();
            }
            assertThat(choice.choose(nodes)).isEqualTo(NodeId.of("c"));
            choice.recordSilence();
        }
        assertThat(choice.choose(nodes)).isEqualTo(NodeId.of("b"));
        List<NodeId> left = List.of(NodeId.of("b"), NodeId.of("a"));
        assertThat(choice.choose(left)).isEqualTo(NodeId.of("b"));
    }
}
