package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationFault;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationValidator;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.Refusal;

/**
 * The configuration that a proposal is evaluated against: the newer of the store's head and the held snapshot.
 *
 * <p>Invariant: the next version is higher than that of the head, the held one and every version known from peers, so
 * that a store restored to an older head cannot make nodes revert an accepted configuration. Immutable and thread safe.
 *
 * @param snapshot the newest available snapshot
 * @param version the newest known version, which may be newer than the snapshot
 * @param recordedSince no outcome recorded at this version or a later one has been dropped or lost
 * @param history the recent snapshots, among them the one that the proposal is based on
 */
record ProposalBase(
        ConfigurationSnapshot snapshot,
        ConfigurationVersion version,
        ConfigurationVersion recordedSince,
        SnapshotHistory history) {

    /** Returns the base for a proposal, given the head as read and the state of this node. */
    static ProposalBase of(
            ConfigurationHead head,
            ConfigurationSnapshot held,
            ConfigurationVersion newestKnown,
            SnapshotHistory history) {
        ConfigurationSnapshot snapshot = held.version().isAfter(head.version()) ? held : head.snapshot();
        ConfigurationVersion version = ConfigurationVersion.newest(snapshot.version(), newestKnown);
        ConfigurationVersion recordedSince = version.isAfter(head.version()) ? version.next() : head.recordedSince();
        return new ProposalBase(snapshot, version, recordedSince, history);
    }

    /** Returns the snapshot that results from accepting a proposal, or the reason to refuse it. */
    Either<Refusal, ConfigurationSnapshot> nextSnapshot(Proposal proposal) {
        return validated(proposal.configuration())
                .flatMap(_ -> rebased(proposal))
                .map(configuration -> ConfigurationSnapshot.of(version.next(), configuration));
    }

    private Either<Refusal, Configuration> rebased(Proposal proposal) {
        if (proposal.expectedVersion().isEmpty()) {
            return Either.right(proposal.configuration());
        }
        ConfigurationVersion expected = proposal.expectedVersion().get();
        if (expected.equals(version)) {
            return Either.right(proposal.configuration());
        }
        Optional<Configuration> base = history.snapshot(expected).map(ConfigurationSnapshot::configuration);
        if (base.isEmpty()) {
            return Either.left(new Refusal.VersionConflict(expected, version, List.of()));
        }
        if (!proposal.isRebaseAllowed() || !isRebasePossible(expected)) {
            List<String> paths = Rebase.changedPaths(base.get(), snapshot.configuration());
            return Either.left(new Refusal.VersionConflict(expected, version, paths));
        }
        return Rebase.rebase(base.get(), proposal.configuration(), snapshot.configuration())
                .<Refusal>mapLeft(paths -> new Refusal.VersionConflict(expected, version, paths))
                .flatMap(ProposalBase::validated);
    }

    /**
     * A rebase needs the newest snapshot, and complete outcomes since the expected version: a proposal whose outcome
     * was dropped could otherwise be applied twice.
     */
    private boolean isRebasePossible(ConfigurationVersion expected) {
        return snapshot.version().equals(version)
                && version.isAfter(expected)
                && !recordedSince.isAfter(expected.next());
    }

    private static Either<Refusal, Configuration> validated(Configuration configuration) {
        List<ConfigurationFault> faults = ConfigurationValidator.validate(configuration);
        return faults.isEmpty() ? Either.right(configuration) : Either.left(new Refusal.Invalid(faults));
    }
}
