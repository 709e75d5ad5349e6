package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleanderturn.store.StoreFailure;

/**
 * Writes the results of claims, and retries them in the background while the store returns no usable answer.
 *
 * <p>Invariant: a record is replaced only by one with the same token, and only while it is in the claimed state; if the
 * claim itself could still take effect late, the write advances the key's revision, so that it no longer can. Thread
 * safe.
 */
final class ClaimSettler {
    private static final Duration RETRY_PERIOD = Duration.ofHours(1);

    private final ClaimStore store;
    private final ClaimSettings settings;
    private final LongSupplier clockMilliseconds;
    private final PendingSettlements pending = new PendingSettlements();

    ClaimSettler(ClaimStore store, ClaimSettings settings, LongSupplier clockMilliseconds) {
        this.store = store;
        this.settings = settings;
        this.clockMilliseconds = clockMilliseconds;
    }

    // -- queries

    int pendingCount() {
        return pending.count();
    }

    boolean isFull() {
        return pending.isFull();
    }

    Settlement newSettlement(IdempotencyKey key, long expectedRevision, ClaimRecord record) {
        return new Settlement(key, expectedRevision, record, clockMilliseconds.getAsLong() + RETRY_PERIOD.toMillis());
    }

    // -- commands

    /** Queues a settlement for the background retries. */
    void defer(Settlement settlement) {
        pending.add(settlement);
    }

    /** Writes a settlement now, or queues it if the store returns no usable answer. */
    SettleOutcome settle(Settlement settlement) {
        SettleOutcome outcome = write(settlement);
        if (outcome instanceof SettleOutcome.Pending) {
            pending.add(settlement);
        }
        return outcome;
    }

    /** Retries every pending settlement once, stops when the store is unreachable, and returns how many are pending. */
    int retryPending(ClaimCounters counters) {
        int due = pending.count();
        for (int done = 0; done < due; done++) {
            Optional<Settlement> next = pending.poll();
            if (next.isEmpty()) {
                break;
            }
            if (next.get().expiresAtMilliseconds() < clockMilliseconds.getAsLong()) {
                continue;
            }
            SettleOutcome outcome = settle(next.get());
            counters.add(outcome);
            if (outcome instanceof SettleOutcome.Pending(StoreFailure failure) && !failure.isUndetermined()) {
                break;
            }
        }
        return pending.count();
    }

    // -- writes

    private SettleOutcome write(Settlement settlement) {
        long expectedRevision = settlement.expectedRevision();
        StoreFailure last = new StoreFailure.Undetermined("no attempt");
        for (int attempt = 0; attempt < settings.attempts(); attempt++) {
            Either<StoreFailure, Long> written = store.write(settlement.key(), expectedRevision, settlement.record());
            if (written.isRight()) {
                return new SettleOutcome.Settled();
            }
            last = written.getLeft();
            if (last instanceof StoreFailure.Conflict) {
                Either<StoreFailure, Optional<ClaimStore.Versioned>> read = store.read(settlement.key());
                if (read.isLeft()) {
                    return new SettleOutcome.Pending(read.getLeft());
                }
                Optional<Long> claimed = claimedRevision(read.get(), settlement.record());
                if (claimed.isEmpty()) {
                    return outcome(read.get(), settlement.record());
                }
                expectedRevision = claimed.get();
            } else if (!last.isUndetermined()) {
                return new SettleOutcome.Pending(last);
            }
        }
        return new SettleOutcome.Pending(last);
    }

    /** Returns the revision of the found record if it is a claim with the given record's token. */
    private static Optional<Long> claimedRevision(Optional<ClaimStore.Versioned> found, ClaimRecord record) {
        return found.filter(versioned -> versioned.record().token().equals(record.token()))
                .filter(versioned -> versioned.record().state() instanceof ClaimState.Claimed)
                .map(ClaimStore.Versioned::revision);
    }

    private static SettleOutcome outcome(Optional<ClaimStore.Versioned> found, ClaimRecord record) {
        boolean isOwn = found.filter(versioned -> versioned.record().token().equals(record.token()))
                .filter(versioned ->
                        versioned.record().state().getClass() == record.state().getClass())
                .isPresent();
        return isOwn ? new SettleOutcome.Settled() : new SettleOutcome.Superseded();
    }
}
