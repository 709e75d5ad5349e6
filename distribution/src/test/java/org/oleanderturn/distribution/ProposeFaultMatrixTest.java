package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.store.FakeStore.Fault;
import org.oleanderturn.store.StoredValue;

/** Every fault at every store call of a proposal, with a second fault, a race and a late write beside it. */
class ProposeFaultMatrixTest {
    private static final ProposalId ID = ProposalId.of("change");
    private static final Configuration WANTED = Samples.services(11, 10);
    private static final int CALLS = 5;

    /** The calls of a proposal whose swap lost its answer. */
    enum Step {
        READ(0),
        SWAP(1),
        READ_BACK(2),
        FENCE(3);

        private final int call;

        Step(int call) {
            this.call = call;
        }
    }

    /** What another operator or node does right before a call. */
    enum Race {
        NONE,
        DISJOINT_CHANGE,
        CLASHING_CHANGE,
        SAME_ID_AT_ANOTHER_NODE,
        FENCE_AT_ANOTHER_NODE
    }

    private record Scenario(List<Fault> faults, Race race, int raceBefore, int deliverBefore, int crashAfter) {}

    static Stream<Arguments> cells() {
        return Arrays.stream(Step.values())
                .flatMap(step -> Arrays.stream(Fault.values())
                        .flatMap(fault -> Arrays.stream(Race.values()).map(race -> Arguments.of(step, fault, race))));
    }

    @ParameterizedTest(name = "{0} {1} {2}")
    @MethodSource("cells")
    void shouldKeepEveryAnswerTrueWhenFaultsMeet(Step step, Fault fault, Race race) {
        FaultMatrix.cell("propose", step.name(), fault + "/" + race, "not run stays true; accepted once", () -> {
            for (Fault lost : swapFaults(step)) {
                for (Fault second : Fault.values()) {
                    for (int raceBefore = 0; raceBefore < (race == Race.NONE ? 1 : CALLS); raceBefore++) {
                        for (int deliverBefore = 1; deliverBefore <= CALLS; deliverBefore++) {
                            List<Fault> faults = script(step, lost, fault, second);
                            check(new Scenario(faults, race, raceBefore, deliverBefore, Integer.MAX_VALUE));
                        }
                    }
                }
            }
        });
    }

    @ParameterizedTest(name = "{0} {1} {2}")
    @MethodSource("cells")
    void shouldSettleOnceWhenTheNodeCrashesAfterAStep(Step step, Fault fault, Race race) {
        FaultMatrix.cell("propose", step.name(), fault + "/" + race + "/CRASH", "a second sending settles it", () -> {
            for (Fault lost : swapFaults(step)) {
                for (int deliverBefore = 1; deliverBefore <= CALLS; deliverBefore++) {
                    List<Fault> faults = script(step, lost, fault, Fault.NONE);
                    check(new Scenario(faults, race, 1, deliverBefore, step.call));
                }
            }
        });
    }

    private static List<Fault> swapFaults(Step step) {
        return step.compareTo(Step.SWAP) <= 0
                ? List.of(Fault.NONE)
                : List.of(Fault.ANSWER_LOST, Fault.REQUEST_LOST, Fault.EFFECT_LATE);
    }

    private static List<Fault> script(Step step, Fault lost, Fault fault, Fault second) {
        return switch (step) {
            case READ -> List.of(fault, second);
            case SWAP -> List.of(Fault.NONE, fault, second);
            case READ_BACK -> List.of(Fault.NONE, lost, fault, second);
            case FENCE -> List.of(Fault.NONE, lost, Fault.NONE, fault, second);
        };
    }

    private static void check(Scenario scenario) {
        Run run = new Run(scenario);
        Optional<ChangeOutcome> answer = run.propose();
        run.store.applyLateWrites();
        run.checkHead();
        answer.ifPresent(outcome -> run.checkAnswer(outcome));
        run.checkResending(answer);
    }

    /** One scenario on a store of its own. */
    private static final class Run {
        private final Scenario scenario;
        private final FakeStore store = FakeStore.create();
        private final FaultInjectingStore scripted = new FaultInjectingStore(store, this::checkHead);
        private final ConfigurationHolder holder = ConfigurationHolder.empty();
        private final SnapshotHistory history = SnapshotHistory.of(holder);
        private final Proposal proposal = Samples.proposalBasedOn(1, true, ID.value(), WANTED);
        private ConfigurationVersion lastHead = ConfigurationVersion.none();

        private Run(Scenario scenario) {
            this.scenario = scenario;
            var _ = other().propose(Samples.proposal("start", Samples.services(10, 10)));
            holder.adopt(head().snapshot());
            for (int call = 0; call < scenario.faults().size(); call++) {
                scripted.injectFault(call, scenario.faults().get(call));
            }
            scripted.before(scenario.raceBefore(), this::race);
            scripted.before(scenario.deliverBefore(), store::applyLateWrites);
            scripted.crashAfter(scenario.crashAfter());
        }

        private Optional<ChangeOutcome> propose() {
            try {
                return Optional.of(ProposalAcceptor.of(scripted, holder, history, ConfigurationVersion::none)
                        .propose(proposal));
            } catch (FaultInjectingStore.Crash crash) {
                return Optional.empty();
            }
        }

        private void race() {
            var _ = switch (scenario.race()) {
                case NONE -> Optional.empty();
                case DISJOINT_CHANGE -> other().propose(Samples.proposal("other", Samples.services(10, 12)));
                case CLASHING_CHANGE -> other().propose(Samples.proposal("other", Samples.services(12, 10)));
                case SAME_ID_AT_ANOTHER_NODE -> other().propose(proposal);
                case FENCE_AT_ANOTHER_NODE -> fenceElsewhere();
            };
        }

        private ChangeOutcome fenceElsewhere() {
            FaultInjectingStore losing = new FaultInjectingStore(store, () -> {});
            losing.injectFault(1, Fault.REQUEST_LOST);
            return acceptor(losing).propose(proposal);
        }

        private ProposalAcceptor other() {
            return acceptor(new FaultInjectingStore(store, () -> {}));
        }

        private ProposalAcceptor acceptor(FaultInjectingStore way) {
            return ProposalAcceptor.of(way, ConfigurationHolder.empty(), history, ConfigurationVersion::none);
        }

        private ConfigurationHead head() {
            return Optional.ofNullable(store.contents().get(ConfigurationHead.KEY))
                    .map(bytes -> StoredHead.of(Optional.of(StoredValue.of(ConfigurationHead.KEY, 1, bytes)))
                            .get()
                            .head())
                    .orElse(ConfigurationHead.empty());
        }

        private void checkHead() {
            ConfigurationHead head = head();
            assertWithMessage("%s", scenario).that(head.version()).isAtLeast(lastHead);
            assertWithMessage("%s", scenario).that(head.snapshot().isIntact()).isTrue();
            long settled = head.outcomes().stream()
                    .filter(outcome -> outcome.id().equals(ID))
                    .count();
            assertWithMessage("%s", scenario).that(settled).isAtMost(1);
            assertWithMessage("%s", scenario).that(holder.version()).isAtMost(head.version());
            lastHead = head.version();
        }

        private boolean isAccepted() {
            return head().outcome(ID)
                    .filter(outcome -> outcome.result() instanceof RecordedOutcome.Result.Accepted)
                    .isPresent();
        }

        private void checkAnswer(ChangeOutcome answer) {
            switch (answer) {
                case ChangeOutcome.Accepted _ ->
                    assertWithMessage("%s", scenario)
                            .that(head().outcome(ID).map(RecordedOutcome::toChangeOutcome))
                            .isEqualTo(Optional.of(answer));
                case ChangeOutcome.Refused refused -> checkRefusal(refused);
                case ChangeOutcome.Undetermined _ ->
                    assertWithMessage("%s", scenario)
                            .that(scenario.faults().stream().allMatch(Fault.NONE::equals))
                            .isFalse();
                case ChangeOutcome.NotRecorded _ -> throw new AssertionError("not an answer to a proposal");
            }
        }

        private void checkRefusal(ChangeOutcome.Refused refused) {
            if (scenario.race() == Race.SAME_ID_AT_ANOTHER_NODE && refused.scope() == ChangeOutcome.Scope.ATTEMPT) {
                return;
            }
            assertWithMessage("%s gave %s", scenario, refused)
                    .that(isAccepted())
                    .isFalse();
        }

        /** The operator sends the change again to a healthy node, twice, and asks for it. */
        private void checkResending(Optional<ChangeOutcome> answer) {
            boolean wasAccepted = isAccepted();
            ChangeOutcome again = other().propose(proposal);
            checkHead();
            assertThat(again).isNotInstanceOf(ChangeOutcome.Undetermined.class);
            if (wasAccepted) {
                assertWithMessage("%s", scenario).that(again).isInstanceOf(ChangeOutcome.Accepted.class);
            }
            answer.filter(Run::isForGood)
                    .ifPresent(first ->
                            assertWithMessage("%s", scenario).that(again).isEqualTo(first));
            if (isForGood(again)) {
                assertThat(other().propose(proposal)).isEqualTo(again);
                assertThat(other().outcome(ID)).isEqualTo(again);
            }
        }

        private static boolean isForGood(ChangeOutcome outcome) {
            return switch (outcome) {
                case ChangeOutcome.Accepted _ -> true;
                case ChangeOutcome.Refused refused -> refused.scope() == ChangeOutcome.Scope.PROPOSAL;
                case ChangeOutcome.Undetermined _, ChangeOutcome.NotRecorded _ -> false;
            };
        }
    }
}
