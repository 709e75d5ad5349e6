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

/** Injects every fault at every store call of a proposal, together with a second fault, a race and a delayed write. */
class ProposeFaultMatrixTest {
    private static final ProposalId ID = ProposalId.of("change");
    private static final Configuration PROPOSED = Samples.services(11, 10);
    private static final int CALLS = 5;

    /** The store calls of a proposal whose swap lost its response. */
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

    /** What another operator or node does right before a call of this node. */
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
    void shouldReturnOnlyCorrectOutcomesWhenFaultsCombine(Step step, Fault fault, Race race) {
        FaultMatrix.cell(
                "propose",
                step.name(),
                fault + "/" + race,
                "a refused proposal stays unapplied; accepted at most once",
                () -> {
                    for (Fault swapFault : swapFaultsBefore(step)) {
                        for (Fault second : Fault.values()) {
                            for (int raceBefore = 0; raceBefore < (race == Race.NONE ? 1 : CALLS); raceBefore++) {
                                for (int deliverBefore = 1; deliverBefore <= CALLS; deliverBefore++) {
                                    List<Fault> faults = faultsByCall(step, swapFault, fault, second);
                                    check(new Scenario(faults, race, raceBefore, deliverBefore, Integer.MAX_VALUE));
                                }
                            }
                        }
                    }
                });
    }

    @ParameterizedTest(name = "{0} {1} {2}")
    @MethodSource("cells")
    void shouldReachOneFinalOutcomeWhenTheNodeCrashesAfterAStep(Step step, Fault fault, Race race) {
        FaultMatrix.cell(
                "propose", step.name(), fault + "/" + race + "/CRASH", "a retry returns the final outcome", () -> {
                    for (Fault swapFault : swapFaultsBefore(step)) {
                        for (int deliverBefore = 1; deliverBefore <= CALLS; deliverBefore++) {
                            List<Fault> faults = faultsByCall(step, swapFault, fault, Fault.NONE);
                            check(new Scenario(faults, race, 1, deliverBefore, step.call));
                        }
                    }
                });
    }

    private static List<Fault> swapFaultsBefore(Step step) {
        return step.compareTo(Step.SWAP) <= 0
                ? List.of(Fault.NONE)
                : List.of(Fault.ANSWER_LOST, Fault.REQUEST_LOST, Fault.EFFECT_LATE);
    }

    private static List<Fault> faultsByCall(Step step, Fault swapFault, Fault fault, Fault second) {
        return switch (step) {
            case READ -> List.of(fault, second);
            case SWAP -> List.of(Fault.NONE, fault, second);
            case READ_BACK -> List.of(Fault.NONE, swapFault, fault, second);
            case FENCE -> List.of(Fault.NONE, swapFault, Fault.NONE, fault, second);
        };
    }

    private static void check(Scenario scenario) {
        Run run = new Run(scenario);
        Optional<ChangeOutcome> answer = run.propose();
        run.store.applyLateWrites();
        run.checkHead();
        answer.ifPresent(outcome -> run.checkOutcome(outcome));
        run.checkRetries(answer);
    }

    /** Runs one scenario on its own store. */
    private static final class Run {
        private final Scenario scenario;
        private final FakeStore store = FakeStore.create();
        private final FaultInjectingStore faultyStore = new FaultInjectingStore(store, this::checkHead);
        private final ConfigurationHolder holder = ConfigurationHolder.empty();
        private final SnapshotHistory history = SnapshotHistory.of(holder);
        private final Proposal proposal = Samples.proposalBasedOn(1, true, ID.value(), PROPOSED);
        private ConfigurationVersion lastHead = ConfigurationVersion.none();

        private Run(Scenario scenario) {
            this.scenario = scenario;
            var _ = acceptorOfAnotherNode().propose(Samples.proposal("start", Samples.services(10, 10)));
            holder.adopt(head().snapshot());
            for (int call = 0; call < scenario.faults().size(); call++) {
                faultyStore.injectFault(call, scenario.faults().get(call));
            }
            faultyStore.runBefore(scenario.raceBefore(), this::race);
            faultyStore.runBefore(scenario.deliverBefore(), store::applyLateWrites);
            faultyStore.crashAfter(scenario.crashAfter());
        }

        private Optional<ChangeOutcome> propose() {
            try {
                return Optional.of(ProposalAcceptor.of(faultyStore, holder, history, ConfigurationVersion::none)
                        .propose(proposal));
            } catch (FaultInjectingStore.Crash crash) {
                return Optional.empty();
            }
        }

        private void race() {
            var _ = switch (scenario.race()) {
                case NONE -> Optional.empty();
                case DISJOINT_CHANGE ->
                    acceptorOfAnotherNode().propose(Samples.proposal("other", Samples.services(10, 12)));
                case CLASHING_CHANGE ->
                    acceptorOfAnotherNode().propose(Samples.proposal("other", Samples.services(12, 10)));
                case SAME_ID_AT_ANOTHER_NODE -> acceptorOfAnotherNode().propose(proposal);
                case FENCE_AT_ANOTHER_NODE -> fenceAtAnotherNode();
            };
        }

        private ChangeOutcome fenceAtAnotherNode() {
            FaultInjectingStore lossyStore = new FaultInjectingStore(store, () -> {});
            lossyStore.injectFault(1, Fault.REQUEST_LOST);
            return acceptor(lossyStore).propose(proposal);
        }

        private ProposalAcceptor acceptorOfAnotherNode() {
            return acceptor(new FaultInjectingStore(store, () -> {}));
        }

        private ProposalAcceptor acceptor(FaultInjectingStore nodeStore) {
            return ProposalAcceptor.of(nodeStore, ConfigurationHolder.empty(), history, ConfigurationVersion::none);
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
            long recordedOutcomes = head.outcomes().stream()
                    .filter(outcome -> outcome.id().equals(ID))
                    .count();
            assertWithMessage("%s", scenario).that(recordedOutcomes).isAtMost(1);
            assertWithMessage("%s", scenario).that(holder.version()).isAtMost(head.version());
            lastHead = head.version();
        }

        private boolean isAccepted() {
            return head().outcome(ID)
                    .filter(outcome -> outcome.result() instanceof RecordedOutcome.Result.Accepted)
                    .isPresent();
        }

        private void checkOutcome(ChangeOutcome returned) {
            switch (returned) {
                case ChangeOutcome.Accepted _ ->
                    assertWithMessage("%s", scenario)
                            .that(head().outcome(ID).map(RecordedOutcome::toChangeOutcome))
                            .isEqualTo(Optional.of(returned));
                case ChangeOutcome.Refused refused -> checkRefusal(refused);
                case ChangeOutcome.Undetermined _ ->
                    assertWithMessage("%s", scenario)
                            .that(scenario.faults().stream().allMatch(Fault.NONE::equals))
                            .isFalse();
                case ChangeOutcome.NotRecorded _ -> throw new AssertionError("not a valid outcome of a proposal");
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

        /** The operator sends the proposal twice more, to healthy nodes, and then queries its outcome. */
        private void checkRetries(Optional<ChangeOutcome> answer) {
            boolean wasAccepted = isAccepted();
            ChangeOutcome retried = acceptorOfAnotherNode().propose(proposal);
            checkHead();
            assertThat(retried).isNotInstanceOf(ChangeOutcome.Undetermined.class);
            if (wasAccepted) {
                assertWithMessage("%s", scenario).that(retried).isInstanceOf(ChangeOutcome.Accepted.class);
            }
            answer.filter(Run::isFinal)
                    .ifPresent(first ->
                            assertWithMessage("%s", scenario).that(retried).isEqualTo(first));
            if (isFinal(retried)) {
                assertThat(acceptorOfAnotherNode().propose(proposal)).isEqualTo(retried);
                assertThat(acceptorOfAnotherNode().outcome(ID)).isEqualTo(retried);
            }
        }

        private static boolean isFinal(ChangeOutcome outcome) {
            return switch (outcome) {
                case ChangeOutcome.Accepted _ -> true;
                case ChangeOutcome.Refused refused -> refused.scope() == ChangeOutcome.Scope.PROPOSAL;
                case ChangeOutcome.Undetermined _, ChangeOutcome.NotRecorded _ -> false;
            };
        }
    }
}
