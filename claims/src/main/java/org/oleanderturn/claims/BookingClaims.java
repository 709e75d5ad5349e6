package org.oleanderturn.claims;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Digest;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;

/**
 * Ensures that a booking runs at most once by granting at most one claim per idempotency key.
 *
 * <p>Invariants: until the retention ends, at most one startable handle exists per key, and its claim is durable before
 * the handle is returned; a key becomes free again only when the holder of the claim's token states that the booking
 * did not run and will not run; a lost answer never frees a key. Only the retention depends on leases or clocks. Thread
 * safe.
 */
public final class BookingClaims {
    private final ClaimStore store;
    private final ClaimSettings settings;
    private final LongSupplier clockMilliseconds;
    private final RandomGenerator tokenGenerator;
    private final ClaimSettler settler;
    private final ClaimCounters counters = new ClaimCounters();

    BookingClaims(
            ClaimStore store, ClaimSettings settings, LongSupplier clockMilliseconds, RandomGenerator tokenGenerator) {
        this.store = store;
        this.settings = settings;
        this.clockMilliseconds = clockMilliseconds;
        this.tokenGenerator = tokenGenerator;
        this.settler = new ClaimSettler(store, settings, clockMilliseconds);
    }

    /**
     * Returns an instance that keeps each claim under its own key in the store.
     *
     * @param clockMilliseconds the time since the epoch
     * @param tokenGenerator generates claim tokens; must never repeat values of another process, so use a secure one
     */
    public static BookingClaims of(
            Store store, ClaimSettings settings, LongSupplier clockMilliseconds, RandomGenerator tokenGenerator) {
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(clockMilliseconds, "clockMilliseconds is null");
        Objects.requireNonNull(tokenGenerator, "tokenGenerator is null");
        ClaimStore keyed = KeyedClaimStore.of(store, settings.retention(), clockMilliseconds);
        return new BookingClaims(keyed, settings, clockMilliseconds, tokenGenerator);
    }

    /**
     * Returns an instance that keeps claims in journals in the store, one per partition of the keys.
     *
     * @param partitionCount must be the same in all processes and must not change while claims are retained
     * @param clockMilliseconds the time since the epoch; the clocks of two processes must differ by at most ten minutes
     * @param tokenGenerator generates claim tokens, see {@link #of}
     */
    public static BookingClaims withJournals(
            Store store,
            int partitionCount,
            ClaimSettings settings,
            LongSupplier clockMilliseconds,
            RandomGenerator tokenGenerator) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(tokenGenerator, "tokenGenerator is null");
        ClaimStore journals = JournalClaimStore.of(store, partitionCount, settings.retention(), clockMilliseconds);
        return new BookingClaims(journals, settings, clockMilliseconds, tokenGenerator);
    }

    // -- queries

    /** Returns the number of claims by decision since the start, and of pending settlements. */
    public ClaimCounts counts() {
        return counters.snapshot(settler.pendingCount());
    }

    // -- commands

    /**
     * Claims a key for one attempt; blocks on calls to the store.
     *
     * @param fingerprint the digest of the request; detects that a key is reused for another request
     * @return {@link ClaimDecision.Granted} only after the claim is durable; after any other decision this attempt must
     *     not run the booking
     */
    public ClaimDecision claim(IdempotencyKey key, Digest fingerprint) {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(fingerprint, "fingerprint is null");
        ClaimDecision decision = settler.isFull()
                ? notRun(new ClaimDecision.Reason.Saturated())
                : new ClaimAttempt(key, newRecord(fingerprint)).decide();
        counters.add(decision);
        return decision;
    }

    /**
     * Starts the booking of a granted claim; must be called right before the request is forwarded to the target.
     *
     * @return whether the booking may run now: true at most once, and only within {@link ClaimSettings#startWithin} of
     *     the claim; if false, the handle must be released
     */
    public boolean start(ClaimHandle handle) {
        Objects.requireNonNull(handle, "handle is null");
        return handle.start(clockMilliseconds.getAsLong());
    }

    /** Records the complete answer of a booking that ran. */
    public SettleOutcome complete(ClaimHandle handle, RecordedAnswer answer) {
        Objects.requireNonNull(handle, "handle is null");
        Objects.requireNonNull(answer, "answer is null");
        if (!handle.settleIfStarted()) {
            return new SettleOutcome.AlreadySettled();
        }
        ClaimState finished = answer.isRecordable()
                ? new ClaimState.Finished(answer)
                : new ClaimState.FinishedUnrecorded(answer.status());
        return settle(handle, finished);
    }

    /** Frees the key of a booking that certainly did not run; the handle can no longer start. */
    public SettleOutcome release(ClaimHandle handle) {
        Objects.requireNonNull(handle, "handle is null");
        if (!handle.settle()) {
            return new SettleOutcome.AlreadySettled();
        }
        return settle(handle, new ClaimState.Released());
    }

    /**
     * Retries each pending settlement once, and stops when the store is unreachable.
     *
     * @return the number of settlements that are still pending
     */
    public int retryPendingSettlements() {
        return settler.retryPending(counters);
    }

    // -- decisions

    private ClaimRecord newRecord(Digest fingerprint) {
        long now = clockMilliseconds.getAsLong();
        return new ClaimRecord(fingerprint, ClaimToken.generate(tokenGenerator), now, new ClaimState.Claimed());
    }

    private SettleOutcome settle(ClaimHandle handle, ClaimState state) {
        ClaimRecord record = handle.record().with(state);
        SettleOutcome outcome = settler.settle(settler.newSettlement(handle.key(), handle.revision(), record));
        counters.add(outcome);
        return outcome;
    }

    private ClaimDecision notRun(ClaimDecision.Reason reason) {
        return new ClaimDecision.NotRun(reason, retryAfter(reason));
    }

    private Duration retryAfter(ClaimDecision.Reason reason) {
        if (reason instanceof ClaimDecision.Reason.StoreFailed(StoreFailure.Throttled(Duration wait))
                && wait.compareTo(settings.retryAfter()) > 0) {
            return wait;
        }
        return settings.retryAfter();
    }

    private Optional<Duration> retryHint(ClaimRecord found) {
        long age = clockMilliseconds.getAsLong() - found.claimedAtMilliseconds();
        boolean mayStillFinish = age < settings.startWithin().multipliedBy(2).toMillis();
        return mayStillFinish ? Optional.of(settings.retryAfter()) : Optional.empty();
    }

    /**
     * One attempt to claim a key.
     *
     * <p>Invariant: every write contains the attempt's token, so repeating it is idempotent; of the writes whose answer
     * was lost only the last can still take effect, because the key's revision has moved past those that the earlier
     * ones expected. Used by one thread.
     */
    private final class ClaimAttempt {
        private final IdempotencyKey key;
        private final ClaimRecord record;
        private long expectedRevision;
        private boolean hasLostAnswer;

        private ClaimAttempt(IdempotencyKey key, ClaimRecord record) {
            this.key = key;
            this.record = record;
        }

        private ClaimDecision decide() {
            StoreFailure last = new StoreFailure.Undetermined("no attempt");
            for (int attempt = 0; attempt < settings.attempts(); attempt++) {
                var written = store.write(key, expectedRevision, record);
                if (written.isRight()) {
                    return granted(written.get());
                }
                last = written.getLeft();
                hasLostAnswer |= last.isUndetermined();
                if (last instanceof StoreFailure.Conflict) {
                    Optional<ClaimDecision> decision = resolveConflict();
                    if (decision.isPresent()) {
                        return decision.get();
                    }
                } else if (!last.isUndetermined()) {
                    return giveUp(new ClaimDecision.Reason.StoreFailed(last));
                }
            }
            return giveUp(
                    last instanceof StoreFailure.Conflict
                            ? new ClaimDecision.Reason.Contended()
                            : new ClaimDecision.Reason.StoreFailed(last));
        }

        /** Reads the conflicting record and decides; empty if the write should be repeated. */
        private Optional<ClaimDecision> resolveConflict() {
            var read = store.read(key);
            if (read.isLeft()) {
                return read.getLeft().isUndetermined()
                        ? Optional.empty()
                        : Optional.of(giveUp(new ClaimDecision.Reason.StoreFailed(read.getLeft())));
            }
            if (read.get().isEmpty()) {
                expectedRevision = 0;
                return Optional.empty();
            }
            return evaluate(read.get().get());
        }

        private Optional<ClaimDecision> evaluate(ClaimStore.Versioned found) {
            ClaimRecord other = found.record();
            if (hasLostAnswer && other.equals(record)) {
                return Optional.of(granted(found.revision()));
            }
            if (other.isReleased()) {
                expectedRevision = found.revision();
                return Optional.empty();
            }
            if (!other.fingerprint().equals(record.fingerprint())) {
                return Optional.of(new ClaimDecision.KeyReused());
            }
            return Optional.of(
                    switch (other.state()) {
                        case ClaimState.Finished(RecordedAnswer answer) -> new ClaimDecision.AlreadyFinished(answer);
                        case ClaimState.FinishedUnrecorded(int status) ->
                            new ClaimDecision.AlreadyFinishedUnrecorded(status);
                        case ClaimState.Claimed _, ClaimState.Released _ ->
                            new ClaimDecision.InProgressOrUnknown(retryHint(other));
                    });
        }

        private ClaimDecision granted(long revision) {
            long startBefore =
                    record.claimedAtMilliseconds() + settings.startWithin().toMillis();
            return new ClaimDecision.Granted(ClaimHandle.of(key, record, revision, startBefore));
        }

        private ClaimDecision giveUp(ClaimDecision.Reason reason) {
            if (hasLostAnswer) {
                settler.defer(settler.newSettlement(key, expectedRevision, record.with(new ClaimState.Released())));
            }
            return notRun(reason);
        }
    }
}
