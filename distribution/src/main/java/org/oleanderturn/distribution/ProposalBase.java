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
 * What a proposal is decided against: the newer of the store's head and the held snapshot.
 *
 * <p>Invariant: the next version is above the head's, the held one and every version known from peers, so that a store
 * restored to an older head can't make an accepted configuration revert. Immutable and thread safe.
 *
 * @param snapshot the newest configuration at hand
 * @param version the newest version known, at hand or not
 * @param recordedSince the version since which the head's outcomes are complete
 * @param history where the proposal's starting point is looked up
 */
record ProposalBase(
        ConfigurationSnapshot snapshot,
        ConfigurationVersion version,
        ConfigurationVersion recordedSince,
        SnapshotHistory history) {

    /** Returns what a proposal is decided against. */
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

    /** Returns the snapshot that the acceptance of the proposal leads to, or why it can't be accepted. */
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
        Optional<Configuration> start = history.snapshot(expected).map(ConfigurationSnapshot::configuration);
        if (start.isEmpty()) {
            return Either.left(new Refusal.VersionConflict(expected, version, List.of()));
        }
        if (!proposal.isRebaseAllowed() || !isRebasePossible(expected)) {
            List<String> paths = Rebase.changedPaths(start.get(), snapshot.configuration());
            return Either.left(new Refusal.VersionConflict(expected, version, paths));
        }
        return Rebase.rebase(start.get(), proposal.configuration(), snapshot.configuration())
                .<Refusal>mapLeft(paths -> new Refusal.VersionConflict(expected, version, paths))
                .flatMap(ProposalBase::validated);
    }

    /** An id whose outcome may have been dropped since could run twice, and what is not at hand can't be built upon. */
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
