package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ChangeOutcome.Scope;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.Refusal;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.store.FakeStore.Fault;

class ProposalAcceptorRecoveryTest {
    private static final ProposalId ID = ProposalId.of("change");
    private static final Proposal CHANGE = Samples.proposal(ID.value(), Samples.services(30, 10));
    private final FakeStore store = FakeStore.create();
    private final FaultInjectingStore faultyStore = new FaultInjectingStore(store, () -> {});
    private final ConfigurationHolder holder = ConfigurationHolder.empty();
    private ConfigurationVersion newestKnown = ConfigurationVersion.none();
    private final ProposalAcceptor acceptor =
            ProposalAcceptor.of(faultyStore, holder, SnapshotHistory.of(holder), () -> newestKnown);

    // -- lost responses

    @Test
    void shouldNeverApplyTheChangeWhenTheDelayedWriteArrivesAfterTheRefusal() {
        faultyStore.injectFault(1, Fault.EFFECT_LATE);

        ChangeOutcome outcome = acceptor.propose(CHANGE);
        store.applyLateWrites();

        assertThat(outcome).isEqualTo(new ChangeOutcome.Refused(ID, new Refusal.Fenced(), Scope.PROPOSAL));
        assertThat(acceptor.outcome(ID)).isEqualTo(outcome);
        assertThat(acceptor.propose(CHANGE)).isEqualTo(outcome);
    }

    @Test
    void shouldReturnAcceptedWhenTheDelayedWriteArrivesBetweenReadBackAndFence() {
        faultyStore.injectFault(1, Fault.EFFECT_LATE);
        faultyStore.runBefore(3, store::applyLateWrites);

        assertThat(acceptor.propose(CHANGE)).isInstanceOf(ChangeOutcome.Accepted.class);
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.of(1));
    }

    @Test
    void shouldBeUndeterminedWhenTheStoreIsUnreachableAfterALostResponse() {
        faultyStore.injectFault(1, Fault.ANSWER_LOST);
        faultyStore.injectFault(2, Fault.UNREACHABLE);

        assertThat(acceptor.propose(CHANGE)).isInstanceOf(ChangeOutcome.Undetermined.class);
        assertThat(acceptor.outcome(ID)).isInstanceOf(ChangeOutcome.Accepted.class);
    }

    @Test
    void shouldBeUndeterminedWhenTheOutcomeOfTheWriteWasDropped() {
        faultyStore.injectFault(1, Fault.ANSWER_LOST);
        faultyStore.runBefore(
                2,
                () -> store.restore(
                        Map.of(ConfigurationHead.KEY, headOfSequence(5_000).encode())));

        assertThat(acceptor.propose(CHANGE)).isInstanceOf(ChangeOutcome.Undetermined.class);
    }

    @Test
    void shouldBeUndeterminedWhenTheStoreIsRestoredBeforeTheReadBack() {
        var _ = acceptor.propose(Samples.proposal("first", Samples.services(10, 10)));
        Map<String, byte[]> backup = store.contents();
        faultyStore.injectFault(3, Fault.ANSWER_LOST);
        faultyStore.runBefore(4, () -> store.restore(backup));

        assertThat(acceptor.propose(CHANGE)).isInstanceOf(ChangeOutcome.Undetermined.class);
    }

    @Test
    void shouldApplyOnceWhenTheSameProposalIsInFlightAtTwoNodes() {
        ConfigurationHolder otherHolder = ConfigurationHolder.empty();
        ProposalAcceptor other =
                ProposalAcceptor.of(store, otherHolder, SnapshotHistory.of(otherHolder), ConfigurationVersion::none);
        faultyStore.runBefore(1, () -> {
            var _ = other.propose(CHANGE);
        });

        ChangeOutcome outcome = acceptor.propose(CHANGE);

        assertThat(outcome).isInstanceOf(ChangeOutcome.Accepted.class);
        assertThat(other.outcome(ID)).isEqualTo(outcome);
        assertThat(store.writes()).isEqualTo(1);
    }

    // -- unreachable store

    @Test
    void shouldRefuseWhenTheStoreIsUnreachable() {
        var _ = acceptor.propose(Samples.proposal("first", Samples.services(10, 10)));
        store.setDefaultFault(Fault.UNREACHABLE);

        ChangeOutcome outcome = acceptor.propose(CHANGE);

        assertThat(((ChangeOutcome.Refused) outcome).refusal()).isInstanceOf(Refusal.PlatformUnavailable.class);
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.of(1));
        store.setDefaultFault(Fault.NONE);
        assertThat(acceptor.outcome(ID)).isInstanceOf(ChangeOutcome.NotRecorded.class);
    }

    @Test
    void shouldRefuseWithARetryDelayWhenTheStoreThrottles() {
        faultyStore.injectFault(1, Fault.THROTTLED);

        Refusal refusal = ((ChangeOutcome.Refused) acceptor.propose(CHANGE)).refusal();

        assertThat(((Refusal.PlatformUnavailable) refusal).retryAfterMilliseconds())
                .isEqualTo(1_000);
        assertThat(store.writes()).isEqualTo(0);
    }

    // -- restored store

    @Test
    void shouldAcceptAVersionAboveTheHeldOneWhenTheStoreIsRestored() {
        Map<String, byte[]> backup = acceptThree();
        store.restore(backup);

        ChangeOutcome outcome =
                acceptor.propose(Samples.proposalBasedOn(3, false, ID.value(), Samples.services(13, 20)));

        assertThat(((ChangeOutcome.Accepted) outcome).version()).isEqualTo(ConfigurationVersion.of(4));
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.of(4));
    }

    @Test
    void shouldReportAConflictWithTheHeldVersionWhenTheStoreIsRestored() {
        Map<String, byte[]> backup = acceptThree();
        store.restore(backup);

        ChangeOutcome outcome =
                acceptor.propose(Samples.proposalBasedOn(1, true, ID.value(), Samples.services(11, 20)));

        assertThat(((ChangeOutcome.Refused) outcome).refusal()).isInstanceOf(Refusal.VersionConflict.class);
        assertThat(acceptor.outcome(ProposalId.of("third"))).isInstanceOf(ChangeOutcome.Undetermined.class);
    }

    @Test
    void shouldRefuseTheRebaseWhenPeersHoldANewerVersionThanTheRestoredStore() {
        var _ = acceptor.propose(Samples.proposal("first", Samples.services(10, 10)));
        newestKnown = ConfigurationVersion.of(5);

        ChangeOutcome refused =
                acceptor.propose(Samples.proposalBasedOn(1, true, ID.value(), Samples.services(10, 20)));
        ChangeOutcome accepted = acceptor.propose(Samples.proposal("whole", Samples.services(10, 21)));

        assertThat(((ChangeOutcome.Refused) refused).refusal())
                .isEqualTo(
                        new Refusal.VersionConflict(ConfigurationVersion.of(1), ConfigurationVersion.of(5), List.of()));
        assertThat(((ChangeOutcome.Accepted) accepted).version()).isEqualTo(ConfigurationVersion.of(6));
    }

    @Test
    void shouldReportTheLossOfOutcomesWhenTheHeadSkipsVersions() {
        Map<String, byte[]> backup = acceptThree();
        store.restore(backup);
        var _ = acceptor.propose(Samples.proposal("fourth", Samples.services(14, 10)));

        assertThat(acceptor.outcome(ProposalId.of("third")))
                .isEqualTo(new ChangeOutcome.NotRecorded(ProposalId.of("third"), ConfigurationVersion.of(4)));
    }

    /** Accepts three versions and returns a backup of the store taken after the first. */
    private Map<String, byte[]> acceptThree() {
        var _ = acceptor.propose(Samples.proposal("first", Samples.services(11, 10)));
        Map<String, byte[]> backup = store.contents();
        var _ = acceptor.propose(Samples.proposal("second", Samples.services(12, 10)));
        var _ = acceptor.propose(Samples.proposal("third", Samples.services(13, 10)));
        return backup;
    }

    private static ConfigurationHead headOfSequence(long sequence) {
        ConfigurationSnapshot snapshot = Samples.snapshot(4_000);
        RecordedOutcome last = new RecordedOutcome(
                sequence,
                ProposalId.of("late"),
                snapshot.digest(),
                snapshot.version(),
                new RecordedOutcome.Result.Accepted(snapshot.digest()));
        return new ConfigurationHead(
                sequence, snapshot, ConfigurationVersion.of(3_999), List.of(last), snapshot.version());
    }
}
