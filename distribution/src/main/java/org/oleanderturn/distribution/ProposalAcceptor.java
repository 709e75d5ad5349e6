package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ConfigurationFault;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.Refusal;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoreLimits;

/**
 * Accepts or refuses proposals by a compare-and-swap of the {@link ConfigurationHead}.
 *
 * <p>Invariants: a proposal is accepted if and only if a swap that records it succeeds; a refusal is returned only when
 * none of the swaps of that call can take effect any more; a refusal of scope {@link ChangeOutcome.Scope#PROPOSAL} is
 * recorded in the store. Thread safe: the store serializes concurrent calls, also those of other nodes.
 */
public final class ProposalAcceptor {
    private static final int MAXIMUM_SWAP_ATTEMPTS = 8;
    private static final int MAXIMUM_RESOLUTION_ATTEMPTS = 4;
    private static final long RETRY_AFTER_MILLISECONDS = 1_000;

    private final Store store;
    private final ConfigurationHolder holder;
    private final SnapshotHistory history;
    private final Supplier<ConfigurationVersion> newestKnown;

    private ProposalAcceptor(
            Store store,
            ConfigurationHolder holder,
            SnapshotHistory history,
            Supplier<ConfigurationVersion> newestKnown) {
        this.store = store;
        this.holder = holder;
        this.history = history;
        this.newestKnown = newestKnown;
    }

    /**
     * Returns an acceptor that adopts what it accepts into the given holder.
     *
     * @param history the snapshots that proposals may be rebased from
     * @param newestKnown supplies the newest version that any known peer holds
     */
    public static ProposalAcceptor of(
            Store store,
            ConfigurationHolder holder,
            SnapshotHistory history,
            Supplier<ConfigurationVersion> newestKnown) {
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(holder, "holder is null");
        Objects.requireNonNull(history, "history is null");
        Objects.requireNonNull(newestKnown, "newestKnown is null");
        return new ProposalAcceptor(store, holder, history, newestKnown);
    }

    // -- queries

    /** Returns the recorded outcome of a proposal; undetermined when the store cannot be read or was restored. */
    public ChangeOutcome outcome(ProposalId id) {
        Objects.requireNonNull(id, "id is null");
        return StoredHead.read(store)
                .fold(
                        failure -> undetermined(id, failure),
                        stored -> stored.head()
                                .outcome(id)
                                .map(RecordedOutcome::toChangeOutcome)
                                .orElseGet(() -> notRecorded(id, stored.head())));
    }

    /** A restored store has lost outcomes, so that a missing record proves nothing about the proposal. */
    private ChangeOutcome notRecorded(ProposalId id, ConfigurationHead head) {
        ConfigurationVersion known = ConfigurationVersion.newest(holder.version(), newestKnown.get());
        if (known.isAfter(head.version())) {
            return new ChangeOutcome.Undetermined(
                    id, "the platform's store is older than the nodes", RETRY_AFTER_MILLISECONDS);
        }
        return new ChangeOutcome.NotRecorded(id, head.recordedSince());
    }

    // -- commands

    /** Accepts or refuses a proposal. An accepted configuration is adopted by this node immediately. */
    public ChangeOutcome propose(Proposal proposal) {
        Objects.requireNonNull(proposal, "proposal is null");
        for (int attempt = 0; attempt < MAXIMUM_SWAP_ATTEMPTS; attempt++) {
            Either<StoreFailure, StoredHead> read = StoredHead.read(store);
            if (read.isLeft()) {
                return refuse(proposal, unavailable(read.getLeft()));
            }
            Optional<ChangeOutcome> decided = attempt(proposal, read.get());
            if (decided.isPresent()) {
                return decided.get();
            }
        }
        return refuse(proposal, new Refusal.Contention(RETRY_AFTER_MILLISECONDS));
    }

    /** Tries one swap of the given head; empty when another write came first, so that this one had no effect. */
    private Optional<ChangeOutcome> attempt(Proposal proposal, StoredHead stored) {
        Optional<ChangeOutcome> recorded = recordedOutcome(proposal, stored.head());
        if (recorded.isPresent()) {
            return recorded;
        }
        ProposalBase base = ProposalBase.of(stored.head(), holder.held(), newestKnown.get(), history);
        Either<Refusal, ConfigurationSnapshot> next = base.nextSnapshot(proposal);
        if (next.isLeft()) {
            return Optional.of(refuse(proposal, next.getLeft()));
        }
        ConfigurationHead head = stored.head().accept(proposal, next.get(), base.version());
        byte[] bytes = head.encode();
        if (bytes.length > StoreLimits.MAXIMUM_VALUE_BYTES) {
            return Optional.of(refuse(proposal, tooLarge(bytes.length)));
        }
        Either<StoreFailure, Long> written = store.compareAndSwap(ConfigurationHead.KEY, stored.revision(), bytes);
        if (written.isRight()) {
            return Optional.of(accept(proposal, head));
        }
        return switch (written.getLeft()) {
            case StoreFailure.Conflict _ -> Optional.empty();
            case StoreFailure.Undetermined _, StoreFailure.Malformed _ -> resolve(proposal, stored);
            case StoreFailure.ValueTooLarge large -> Optional.of(refuse(proposal, tooLarge(large.found())));
            case StoreFailure.Unreachable _, StoreFailure.LeaseEnded _, StoreFailure.Throttled _ ->
                Optional.of(refuse(proposal, unavailable(written.getLeft())));
        };
    }

    /**
     * Resolves a swap of the given head whose response was lost: looks for its record and, if there is none, replaces
     * the head so that the swap can no longer take effect. Empty when another write has already ensured that.
     */
    private Optional<ChangeOutcome> resolve(Proposal proposal, StoredHead expected) {
        byte[] fencedHead = expected.head().fence(proposal).encode();
        for (int resolution = 0; resolution < MAXIMUM_RESOLUTION_ATTEMPTS; resolution++) {
            Either<StoreFailure, StoredHead> read = StoredHead.read(store);
            if (read.isLeft()) {
                return Optional.of(undetermined(proposal.id(), read.getLeft()));
            }
            StoredHead current = read.get();
            Optional<ChangeOutcome> recorded = recordedOutcome(proposal, current.head());
            if (recorded.isPresent()) {
                return recorded;
            }
            if (current.revision() != expected.revision()) {
                return resolveOvertaken(proposal, expected.head(), current.head());
            }
            Either<StoreFailure, Long> written =
                    store.compareAndSwap(ConfigurationHead.KEY, expected.revision(), fencedHead);
            if (written.isRight()) {
                return Optional.of(
                        new ChangeOutcome.Refused(proposal.id(), new Refusal.Fenced(), ChangeOutcome.Scope.PROPOSAL));
            }
        }
        return Optional.of(new ChangeOutcome.Undetermined(
                proposal.id(), "the platform's store keeps losing answers", RETRY_AFTER_MILLISECONDS));
    }

    private static Optional<ChangeOutcome> resolveOvertaken(
            Proposal proposal, ConfigurationHead expected, ConfigurationHead current) {
        if (expected.isContinuedBy(current)) {
            return Optional.empty();
        }
        return Optional.of(new ChangeOutcome.Undetermined(
                proposal.id(), "the platform's store has no record of the write", RETRY_AFTER_MILLISECONDS));
    }

    private ChangeOutcome accept(Proposal proposal, ConfigurationHead head) {
        var _ = holder.adopt(head.snapshot());
        return new ChangeOutcome.Accepted(
                proposal.id(), head.version(), head.snapshot().digest());
    }

    private Optional<ChangeOutcome> recordedOutcome(Proposal proposal, ConfigurationHead head) {
        Optional<RecordedOutcome> outcome = head.outcome(proposal.id());
        if (outcome.isEmpty()) {
            return Optional.empty();
        }
        if (!outcome.get().proposed().equals(ConfigurationSnapshot.digestOf(proposal.configuration()))) {
            return Optional.of(refuse(proposal, new Refusal.IdReused()));
        }
        var _ = holder.adopt(head.snapshot());
        return outcome.map(RecordedOutcome::toChangeOutcome);
    }

    private static ChangeOutcome refuse(Proposal proposal, Refusal refusal) {
        return new ChangeOutcome.Refused(proposal.id(), refusal, ChangeOutcome.Scope.ATTEMPT);
    }

    private static Refusal tooLarge(long found) {
        return new Refusal.Invalid(
                List.of(new ConfigurationFault.TooLarge("", found, StoreLimits.MAXIMUM_VALUE_BYTES)));
    }

    private static Refusal unavailable(StoreFailure failure) {
        return new Refusal.PlatformUnavailable(failure.toString(), retryAfterMilliseconds(failure));
    }

    private static ChangeOutcome undetermined(ProposalId id, StoreFailure failure) {
        return new ChangeOutcome.Undetermined(id, failure.toString(), retryAfterMilliseconds(failure));
    }

    private static long retryAfterMilliseconds(StoreFailure failure) {
        return failure instanceof StoreFailure.Throttled throttled
                ? throttled.retryAfter().toMillis()
                : RETRY_AFTER_MILLISECONDS;
    }
}
