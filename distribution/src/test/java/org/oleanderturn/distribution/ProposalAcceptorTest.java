package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationFault;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.Refusal;
import org.oleanderturn.model.Service;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.store.StoreLimits;

class ProposalAcceptorTest {
    private final FakeStore store = FakeStore.create();
    private final ConfigurationHolder holder = ConfigurationHolder.empty();
    private ConfigurationVersion newestKnown = ConfigurationVersion.none();
    private final ProposalAcceptor acceptor = acceptor(holder);

    @Test
    void shouldAcceptAndAdoptWhenTheSwapSucceeds() {
        ChangeOutcome outcome = acceptor.propose(Samples.proposalBasedOn(0, false, "first", Samples.services(10, 10)));

        assertThat(outcome)
                .isEqualTo(new ChangeOutcome.Accepted(
                        ProposalId.of("first"),
                        ConfigurationVersion.of(1),
                        ConfigurationSnapshot.digestOf(Samples.services(10, 10))));
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.of(1));
        assertThat(acceptor.outcome(ProposalId.of("first"))).isEqualTo(outcome);
    }

    @Test
    void shouldApplyOnceWhenTheSameProposalIsSentAgain() {
        ChangeOutcome first = acceptor.propose(Samples.proposal("first", Samples.services(10, 10)));
        var _ = acceptor.propose(Samples.proposal("second", Samples.services(11, 10)));

        assertThat(acceptor.propose(Samples.proposal("first", Samples.services(10, 10))))
                .isEqualTo(first);
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.of(2));
    }

    @Test
    void shouldRefuseWhenAnIdIsUsedForAnotherConfiguration() {
        var _ = acceptor.propose(Samples.proposal("first", Samples.services(10, 10)));

        assertThat(refusal(acceptor.propose(Samples.proposal("first", Samples.services(11, 10)))))
                .isEqualTo(new Refusal.IdReused());
    }

    @Test
    void shouldRefuseWithoutAWriteWhenTheConfigurationIsInvalid() {
        Configuration invalid = Configuration.of(List.of(), List.of(Samples.route("nowhere")), List.of());

        assertThat(refusal(acceptor.propose(Samples.proposal("first", invalid))))
                .isInstanceOf(Refusal.Invalid.class);
        assertThat(store.writes()).isEqualTo(0);
    }

    @Test
    void shouldRefuseWithoutAWriteWhenTheHeadExceedsTheStoreLimit() {
        Refusal refusal = refusal(acceptor.propose(Samples.proposal("first", Samples.incompressible(30_000))));

        ConfigurationFault fault = ((Refusal.Invalid) refusal).faults().getFirst();
        assertThat(((ConfigurationFault.TooLarge) fault).highest()).isEqualTo(StoreLimits.MAXIMUM_VALUE_BYTES);
        assertThat(store.calls()).isEqualTo(1);
    }

    @Test
    void shouldReportTheConflictingPathWhenOperatorsChangeTheSameObject() {
        var _ = acceptor.propose(Samples.proposalBasedOn(0, false, "first", Samples.services(10, 10)));
        var _ = acceptor.propose(Samples.proposalBasedOn(1, true, "second", Samples.services(11, 10)));

        assertThat(refusal(acceptor.propose(Samples.proposalBasedOn(1, true, "third", Samples.services(12, 10)))))
                .isEqualTo(new Refusal.VersionConflict(
                        ConfigurationVersion.of(1), ConfigurationVersion.of(2), List.of("services/bookings")));
    }

    @Test
    void shouldKeepBothChangesWhenOperatorsChangeDisjointObjects() {
        var _ = acceptor.propose(Samples.proposalBasedOn(0, false, "first", Samples.services(10, 10)));
        var _ = acceptor.propose(Samples.proposalBasedOn(1, false, "second", Samples.services(11, 10)));
        var _ = acceptor.propose(Samples.proposalBasedOn(1, true, "third", Samples.services(10, 12)));

        assertThat(holder.held().configuration()).isEqualTo(Samples.services(11, 12));
    }

    @Test
    void shouldRefuseTheRebaseWhenTheRebasedConfigurationIsInvalid() {
        Configuration twoServices = Samples.manyServices(2);
        Configuration withoutRoute = Configuration.of(
                twoServices.services(), List.of(Samples.route("service-0")), twoServices.trafficPolicies());
        Configuration withoutService = Configuration.of(
                List.of(twoServices.services().getFirst()),
                List.of(Samples.route("service-0")),
                twoServices.trafficPolicies());
        var _ = acceptor.propose(Samples.proposalBasedOn(0, false, "first", withoutRoute));
        var _ = acceptor.propose(Samples.proposalBasedOn(1, false, "second", twoServices));

        assertThat(refusal(acceptor.propose(Samples.proposalBasedOn(1, true, "third", withoutService))))
                .isInstanceOf(Refusal.Invalid.class);
    }

    @Test
    void shouldRefuseWithContentionWhenOtherOperatorsWinEachSwap() {
        ProposalAcceptor other = acceptor(ConfigurationHolder.empty());
        int[] sent = {0};
        for (int attempt = 0; attempt < 8; attempt++) {
            store.runBeforeCall(() -> {});
            store.runBeforeCall(() -> {
                var _ = other.propose(Samples.proposal("other-" + sent[0]++, Samples.services(20, 20)));
            });
            store.runBeforeCall(() -> {});
            store.runBeforeCall(() -> {});
        }

        assertThat(refusal(acceptor.propose(Samples.proposal("first", Samples.services(10, 10)))))
                .isInstanceOf(Refusal.Contention.class);
    }

    /**
     * Operators at different nodes each change a different service, and retry when another change was accepted first.
     */
    @Test
    void shouldLoseNoChangeWhenOperatorsProposeConcurrently() {
        int operators = 6;
        var _ = acceptor.propose(Samples.proposalBasedOn(0, false, "first", Samples.manyServices(operators)));
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int operator = 0; operator < operators; operator++) {
                String service = "service-" + operator;
                executor.execute(() -> change(service, Samples.manyServices(operators)));
            }
        }

        assertThat(acceptor.propose(Samples.proposal("first", Samples.manyServices(operators))))
                .isInstanceOf(ChangeOutcome.Accepted.class);
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.of(1 + operators));
        holder.held()
                .configuration()
                .services()
                .forEach(service -> assertThat(service.slots()).isEqualTo(20));
    }

    private void change(String name, Configuration start) {
        List<Service> services = start.services().stream()
                .map(service -> service.name().value().equals(name) ? Service.of(name, 20, 120) : service)
                .toList();
        Configuration changed = Configuration.of(services, start.routes(), start.trafficPolicies());
        ConfigurationHolder other = ConfigurationHolder.empty();
        SnapshotHistory history = SnapshotHistory.of(other);
        other.adopt(ConfigurationSnapshot.of(ConfigurationVersion.of(1), start));
        ProposalAcceptor sender = ProposalAcceptor.of(store, other, history, ConfigurationVersion::none);
        ChangeOutcome outcome = sender.propose(Samples.proposalBasedOn(1, true, name, changed));
        for (int retry = 0; retry < 100 && !(outcome instanceof ChangeOutcome.Accepted); retry++) {
            outcome = sender.propose(Samples.proposalBasedOn(1, true, name, changed));
        }
    }

    private ProposalAcceptor acceptor(ConfigurationHolder adopter) {
        return ProposalAcceptor.of(store, adopter, SnapshotHistory.of(adopter), () -> newestKnown);
    }

    private static Refusal refusal(ChangeOutcome outcome) {
        return ((ChangeOutcome.Refused) outcome).refusal();
    }
}
