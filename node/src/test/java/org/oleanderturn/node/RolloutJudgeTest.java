package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RolloutState;
import org.oleanderturn.model.RolloutStatus;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.SoftwareVersion;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.platform.RolloutKeys;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.store.StoredValue;
import org.oleanderturn.traffic.RolloutCounts;
import org.oleanderturn.traffic.RolloutPace;
import org.oleanderturn.traffic.RolloutReport;
import org.oleanderturn.traffic.RolloutRouteCounts;
import org.oleanderturn.traffic.RolloutStage;

/** Guards the status in the store against faults of each call to it, and against the loss of the judge. */
final class RolloutJudgeTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final String ORDER_KEY = RolloutKeys.ORDER_PREFIX + SERVICE;
    private static final RolloutPace PACE = new RolloutPace(0.1, 50, Duration.ofSeconds(5));
    private static final int NODES = 4;

    /** More than the calls of one rollout: two reads of orders, a read and a write of the status, and so on. */
    private static final int CALLS = 60;

    private long now = 1;
    private long orderRevision;
    private final FakeStore store = FakeStore.of(() -> now);
    private boolean hasSeveralVersions = true;
    private RolloutJudge judge = judge();
    private final RolloutStage[] stages = {
        RolloutStage.CANARY, RolloutStage.CANARY, RolloutStage.CANARY, RolloutStage.CANARY
    };
    private final List<RolloutStage> finals = new ArrayList<>();

    private RolloutJudge judge() {
        return new RolloutJudge(PACE, store, () -> true, () -> hasSeveralVersions, () -> NODES, () -> now);
    }

    private void order(String version, long expectedRevision) {
        byte[] order = FakeOperator.rolloutOrder(SERVICE.value(), version, "12s");
        assertThat(store.compareAndSwap(ORDER_KEY, expectedRevision, order).isRight())
                .isTrue();
    }

    private Optional<StoredValue> status() {
        return store.get(RolloutKeys.statusKey(SERVICE)).get();
    }

    private Optional<RolloutState> state() {
        return status().flatMap(stored -> RolloutKeys.decodeStatus(stored.value()))
                .map(RolloutStatus::state);
    }

    private static RolloutReport report(int node, RolloutStage stage, long revision, long elapsed, boolean isBad) {
        RolloutCounts next = RolloutCounts.none();
        RolloutCounts current = RolloutCounts.none();
        for (int count = 0; count < elapsed / 100; count++) {
            next = isBad ? next.plusBad() : next.plusAnswer(Duration.ofMillis(100));
            current = current.plusAnswer(Duration.ofMillis(100));
        }
        return new RolloutReport(
                NodeId.of("node-" + node),
                SERVICE,
                revision,
                stage,
                elapsed,
                0,
                List.of(new RolloutRouteCounts(1, next, current)));
    }

    /** Runs the judge and the nodes that report to it for a time. */
    private void run(long milliseconds, long start, boolean isBad) {
        for (long end = now + milliseconds; now < end; now += 250) {
            judge.run();
            for (int node = 0; node < NODES; node++) {
                RolloutReport own = report(node, stages[node], orderRevision, now - start, isBad);
                int index = node;
                judge.answer(List.of(own))
                        .ifPresent(directives -> directives.forEach(directive -> {
                            if (directive.isSettled() || directive.stage().compareTo(stages[index]) > 0) {
                                stages[index] = directive.stage();
                            }
                            if (directive.isSettled()) {
                                finals.add(directive.stage());
                            }
                        }));
            }
        }
    }

    private void begin(String version) {
        order(version, orderRevision);
        orderRevision = store.get(ORDER_KEY).get().orElseThrow().revision();
    }

    @Test
    void shouldWriteRunningAndTheEndOnceWhenNothingFails() {
        begin("v2");
        run(2_000, 1, false);
        assertThat(state()).isEqualTo(Optional.of(RolloutState.RUNNING));
        run(10_000, 1, false);
        assertThat(state()).isEqualTo(Optional.of(RolloutState.COMPLETED));
        long revision = status().orElseThrow().revision();
        run(3_000, 1, false);
        assertThat(status().orElseThrow().revision()).isEqualTo(revision);
    }

    @Test
    void shouldAskTheStoreForNothingWhenTargetsRunOneVersion() {
        hasSeveralVersions = false;
        long before = store.calls();
        run(5_000, 1, false);
        assertThat(store.calls()).isEqualTo(before);
    }

    @Test
    void shouldReachTheEndWhenAnyCallToTheStoreFails() {
        for (boolean isBad : new boolean[] {true, false}) {
            for (FakeStore.Fault fault : FakeStore.Fault.values()) {
                for (int call = 0; call < CALLS; call += call < 8 ? 1 : 5) {
                    RolloutJudgeTest other = new RolloutJudgeTest();
                    other.begin("v2");
                    for (int passed = 0; passed < call; passed++) {
                        other.store.scriptFaults(FakeStore.Fault.NONE);
                    }
                    other.store.scriptFaults(fault);
                    other.run(7_000, 1, isBad);
                    other.store.applyLateWrites();
                    other.run(9_000, 1, isBad);
                    other.assertEnd(isBad, fault + " at call " + call);
                }
            }
        }
    }

    @Test
    void shouldReachTheEndOnceWhenTheJudgeIsLostAtAnyTime() {
        for (boolean isBad : new boolean[] {true, false}) {
            for (int lost = 250; lost < 13_000; lost += 250) {
                RolloutJudgeTest other = new RolloutJudgeTest();
                other.begin("v2");
                other.run(lost, 1, isBad);
                other.judge = other.judge();
                other.run(16_000 - lost, 1, isBad);
                other.assertEnd(isBad, "lost after " + lost);
            }
        }
    }

    /** The end of the order before must not be taken for that of the order which replaces it. */
    @Test
    void shouldStartAgainWhenTheOrderIsReplaced() {
        begin("v2");
        run(8_000, 1, true);
        assertThat(state()).isEqualTo(Optional.of(RolloutState.ROLLED_BACK));
        finals.clear();
        Arrays.fill(stages, RolloutStage.CANARY);
        begin("v2");
        long start = now;
        run(2_500, start, false);
        assertThat(state()).isEqualTo(Optional.of(RolloutState.RUNNING));
        run(12_000, start, false);
        assertEnd(false, "replaced");
    }

    /** An order that only a stale read lacks must not look removed: entries would use all targets. */
    @Test
    void shouldAskAgainWhenAReportIsAboutAnOrderThatItHasNotRead() {
        judge.run();
        begin("v2");
        List<RolloutReport> reports = List.of(report(0, RolloutStage.CANARY, orderRevision, 3_000, false));
        assertThat(judge.answer(reports)).isEqualTo(Optional.empty());
        judge.run();
        assertThat(judge.answer(reports).orElseThrow()).hasSize(1);
    }

    @Test
    void shouldTellThatAnOrderIsRemovedWhenItIsNotInTheStore() {
        judge.run();
        List<RolloutReport> reports = List.of(report(0, RolloutStage.CANARY, 77, 3_000, false));
        assertThat(judge.answer(reports)).isEqualTo(Optional.empty());
        judge.run();
        assertThat(judge.answer(reports).orElseThrow()).isEmpty();
    }

    /** An order may be written, and reported by an entry, between the answer of the store and its arrival. */
    @Test
    void shouldNotTellThatAnOrderIsRemovedWhenItWasReportedDuringTheRead() {
        judge.run();
        assertThat(judge.answer(List.of(report(0, RolloutStage.CANARY, 77, 3_000, false))))
                .isEqualTo(Optional.empty());
        List<RolloutReport> later = List.of(report(0, RolloutStage.CANARY, 78, 3_000, false));
        store.runBeforeCall(() -> judge.answer(later));
        judge.run();
        assertThat(judge.answer(later)).isEqualTo(Optional.empty());
    }

    /** Entries that restarted with the judge would send requests to a version that was rolled back. */
    @Test
    void shouldPermitNothingBeforeItHasReadTheStatus() {
        begin("v2");
        run(8_000, 1, true);
        assertThat(state()).isEqualTo(Optional.of(RolloutState.ROLLED_BACK));
        judge = judge();
        store.scriptFaults(FakeStore.Fault.NONE, FakeStore.Fault.UNREACHABLE);
        judge.run();
        assertThat(judge.answer(List.of()).orElseThrow().getFirst().isPermitted())
                .isFalse();
        judge.run();
        assertThat(judge.answer(List.of()).orElseThrow().getFirst().isSettled()).isTrue();
    }

    @Test
    void shouldTellNothingWhenTheOrdersCannotBeRead() {
        store.setDefaultFault(FakeStore.Fault.UNREACHABLE);
        judge.run();
        assertThat(judge.answer(List.of())).isEqualTo(Optional.empty());
    }

    @Test
    void shouldCountRequestsToNewVersionsAndRolloutsThatHaveNotEnded() {
        Endpoint next = new Endpoint(
                NodeId.of("next"),
                Address.of("10.0.0.1", 80),
                Locality.of("south", "zone"),
                SERVICE,
                6,
                EndpointState.READY,
                1,
                Optional.of(SoftwareVersion.of("v2")));
        RolloutEntry entry =
                new RolloutEntry(NodeId.of("self"), PACE, () -> EndpointView.of(List.of(next)), () -> 1, () -> now);
        NodeMetrics metrics = new NodeMetrics();
        NodeRollouts.register(metrics, entry, judge);
        begin("v2");
        run(500, 1, false);
        entry.recordSent(SERVICE, next);
        entry.apply(judge.answer(List.of()).orElseThrow(), now);
        entry.recordSent(SERVICE, next);
        // The first was sent before the order was known.
        assertThat(metrics.text()).contains("oleanderturn_rollout_requests 1.0\n");
        assertThat(metrics.text()).contains("oleanderturn_rollouts_judged 1.0\n");
        run(14_000, 1, false);
        assertThat(metrics.text()).contains("oleanderturn_rollouts_judged 0.0\n");
    }

    private void assertEnd(boolean isBad, String message) {
        assertWithMessage(message)
                .that(state())
                .isEqualTo(Optional.of(isBad ? RolloutState.ROLLED_BACK : RolloutState.COMPLETED));
        RolloutStage expected = isBad ? RolloutStage.ROLLED_BACK : RolloutStage.COMPLETED;
        assertWithMessage(message).that(finals).isNotEmpty();
        assertWithMessage(message)
                .that(finals.stream().allMatch(expected::equals))
                .isTrue();
        for (RolloutStage stage : stages) {
            assertWithMessage(message).that(stage).isEqualTo(expected);
        }
    }
}
