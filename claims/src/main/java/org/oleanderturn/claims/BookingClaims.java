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
 * Decides which attempt at a booking may run it.
 *
 * <p>Invariants: for each key at most one handle that can start exists until the retention ends, and its claim is
 * durable before it is handed out; a key becomes free again only when the holder of the claim's token says that the
 * booking did not run and will not; a lost answer never frees a key. Nothing rests on leases or clocks except the
 * retention. Thread safe.
 */
public final class BookingClaims {
    private final ClaimStore store;
    private final ClaimSettings settings;
    private final LongSupplier clockMilliseconds;
    private final RandomGenerator tokenGenerator;
    private final ClaimSettler settler;
    private final ClaimCounters counters = new ClaimCounters();

    BookingClaims(ClaimStore store, ClaimSettings settings, LongSupplier clockMilliseconds, RandomGenerator tokens) {
        this.store = store;
        this.settings = settings;
        this.clockMilliseconds = clockMilliseconds;
        this.tokenGenerator = tokens;
        this.settler = new ClaimSettler(store, settings, clockMilliseconds);
    }

    /**
     * Returns the claims held in the given store.
     *
     * @param clockMilliseconds the time since the epoch
     * @param tokens draws the tokens; must never repeat the draws of another process, as a secure one does not
     */
    public static BookingClaims of(
            Store store, ClaimSettings settings, LongSupplier clockMilliseconds, RandomGenerator tokens) {
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(clockMilliseconds, "clockMilliseconds is null");
        Objects.requireNonNull(tokens, "tokens is null");
        ClaimStore keyed = KeyedClaimStore.of(store, settings.retention(), clockMilliseconds);
        return new BookingClaims(keyed, settings, clockMilliseconds, tokens);
    }

    /**
     * Returns the claims held in journals of the given store, one for each partition of the keys.
     *
     * @param partitionCount the same in every process, for as long as claims are retained
     * @param clockMilliseconds the time since the epoch; those of two processes differ by ten minutes at most
     * @param tokens draws the tokens, see {@link #of}
     */
    public static BookingClaims withJournals(
            Store store,
            int partitionCount,
            ClaimSettings settings,
            LongSupplier clockMilliseconds,
            RandomGenerator tokens) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(tokens, "tokens is null");
        ClaimStore journals = JournalClaimStore.of(store, partitionCount, settings.retention(), clockMilliseconds);
        return new BookingClaims(journals, settings, clockMilliseconds, tokens);
    }

    // -- queries

    /** Returns how the claims were decided since the start. */
    public ClaimCounts counts() {
        return counters.snapshot(settler.pendingCount());
    }

    // -- commands

    /**
     * Claims a key for one attempt; blocks for the store's answers.
     *
     * @param fingerprint the digest of the request, by which a key used for another request is told
     * @return {@link ClaimDecision.Granted} only after the claim is durable; with every other decision this attempt
     *     never runs the booking
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
     * Starts the booking of a granted claim; to be called right before the request is sent on.
     *
     * @return whether the booking may run now: true once, and only soon after the claim; after false the handle is to
     *     be released
     */
    public boolean start(ClaimHandle handle) {
        Objects.requireNonNull(handle, "handle is null");
        return handle.start(clockMilliseconds.getAsLong());
    }

    /** Records the whole answer of a booking that ran. */
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

    /** Frees the key of a booking that certainly did not run; the handle can't start any more. */
    public SettleOutcome release(ClaimHandle handle) {
        Objects.requireNonNull(handle, "handle is null");
        if (!handle.settle()) {
            return new SettleOutcome.AlreadySettled();
        }
        return settle(handle, new ClaimState.Released());
    }

    /**
     * Tries again what waits for the store, each once, and stops when the store can't be reached.
     *
     * @return how many still wait
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
        boolean mayFinish = age < settings.startWithin().multipliedBy(2).toMillis();
        return mayFinish ? Optional.of(settings.retryAfter()) : Optional.empty();
    }

    /**
     * One attempt at a key.
     *
     * <p>Invariant: every write carries the attempt's token, so sending it again is idempotent; only the last write
     * whose answer was lost can yet take effect, for the key's revision has moved past what the others expected. Used
     * by one thread.
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

        /** Reads what stands in the way; empty when the write is to be sent again. */
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
