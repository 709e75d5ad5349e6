package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * Writes the journal of one partition by group commit: writes that arrive during a swap are written by the next one.
 *
 * <p>Invariants: a result is always based on a journal that was read from the store or written to it; a write is
 * reported as successful only after the swap that contains it. A swap whose answer was lost can take effect only while
 * the journal's revision is still the expected one, so only while no entry has changed. Thread safe: a lock serializes
 * the swaps of one process, and compare-and-swap those of several.
 */
final class JournalPartition {
    private static final int SWAP_ATTEMPTS = 8;
    private static final Duration CONTENDED_RETRY_AFTER = Duration.ofMillis(200);

    /** A write that waits for a swap; its result is set once, under the lock. */
    private static final class PendingWrite {
        private final IdempotencyKey key;
        private final long expectedRevision;
        private final ClaimRecord record;
        private Optional<Either<StoreFailure, Long>> result = Optional.empty();

        private PendingWrite(IdempotencyKey key, long expectedRevision, ClaimRecord record) {
            this.key = key;
            this.expectedRevision = expectedRevision;
            this.record = record;
        }
    }

    /** A journal with its revision in the store. */
    private record VersionedJournal(long revision, ClaimJournal journal) {}

    private final Store store;
    private final String storeKey;
    private final Duration retention;
    private final LongSupplier clockMilliseconds;
    private final Queue<PendingWrite> waiting = new ConcurrentLinkedQueue<>();
    private final ReentrantLock lock = new ReentrantLock(true);
    private Optional<VersionedJournal> cached = Optional.empty();

    JournalPartition(Store store, String storeKey, Duration retention, LongSupplier clockMilliseconds) {
        this.store = store;
        this.storeKey = storeKey;
        this.retention = retention;
        this.clockMilliseconds = clockMilliseconds;
    }

    // -- queries

    Either<StoreFailure, Optional<ClaimStore.Versioned>> read(IdempotencyKey key) {
        return fetch().map(version ->
                version.journal().find(key).map(entry -> new ClaimStore.Versioned(entry.revision(), entry.record())));
    }

    /** Returns the number of writes that wait for the next swap. */
    int waiting() {
        return waiting.size();
    }

    // -- commands

    Either<StoreFailure, Long> write(IdempotencyKey key, long expectedRevision, ClaimRecord record) {
        PendingWrite write = new PendingWrite(key, expectedRevision, record);
        waiting.add(write);
        lock.lock();
        try {
            if (write.result.isEmpty()) {
                commit(drainWaiting());
            }
            return write.result.orElseThrow();
        } finally {
            lock.unlock();
        }
    }

    // -- group commit

    private List<PendingWrite> drainWaiting() {
        List<PendingWrite> group = new ArrayList<>();
        PendingWrite next = waiting.poll();
        while (next != null) {
            group.add(next);
            next = waiting.poll();
        }
        return group;
    }

    private void commit(List<PendingWrite> group) {
        for (int attempt = 0; attempt < SWAP_ATTEMPTS; attempt++) {
            boolean isFresh = cached.isEmpty();
            Either<StoreFailure, VersionedJournal> base = isFresh ? fetch() : Either.right(cached.get());
            if (base.isLeft()) {
                failAll(group, asNotWritten(base.getLeft()));
                return;
            }
            if (!isFresh && hasConflict(group, base.get().journal())) {
                cached = Optional.empty();
                continue;
            }
            if (swap(group, base.get())) {
                return;
            }
            cached = Optional.empty();
        }
        failAll(group, new StoreFailure.Throttled(CONTENDED_RETRY_AFTER));
    }

    /** Applies the group's writes to the journal by one swap; returns false if another swap came first. */
    private boolean swap(List<PendingWrite> group, VersionedJournal base) {
        long oldestClaimMilliseconds = clockMilliseconds.getAsLong() - retention.toMillis();
        ClaimJournal changed = base.journal().withoutClaimedBefore(oldestClaimMilliseconds);
        List<Either<StoreFailure, Long>> results = new ArrayList<>();
        for (PendingWrite write : group) {
            long currentRevision = changed.revisionOf(write.key);
            if (currentRevision != write.expectedRevision) {
                results.add(Either.left(new StoreFailure.Conflict(currentRevision)));
                continue;
            }
            changed = changed.put(write.key, write.record);
            results.add(Either.right(changed.sequence()));
        }
        if (results.stream().noneMatch(Either::isRight)) {
            cached = Optional.of(base);
            complete(group, results);
            return true;
        }
        Either<StoreFailure, Long> swapped = store.compareAndSwap(storeKey, base.revision(), changed.encode());
        if (swapped.isRight()) {
            cached = Optional.of(new VersionedJournal(swapped.get(), changed));
            complete(group, results);
            return true;
        }
        if (swapped.getLeft() instanceof StoreFailure.Conflict) {
            return false;
        }
        cached = Optional.empty();
        failAccepted(group, results, swapped.getLeft());
        return true;
    }

    private boolean hasConflict(List<PendingWrite> group, ClaimJournal journal) {
        return group.stream().anyMatch(write -> journal.revisionOf(write.key) != write.expectedRevision);
    }

    private Either<StoreFailure, VersionedJournal> fetch() {
        return store.get(storeKey)
                .flatMap(stored -> stored.isEmpty()
                        ? Either.right(new VersionedJournal(StoredValue.ABSENT, ClaimJournal.empty()))
                        : ClaimJournal.decode(stored.get().value())
                                .map(journal ->
                                        new VersionedJournal(stored.get().revision(), journal)));
    }

    // -- results

    private static void complete(List<PendingWrite> group, List<Either<StoreFailure, Long>> results) {
        for (int index = 0; index < group.size(); index++) {
            group.get(index).result = Optional.of(results.get(index));
        }
    }

    private static void failAccepted(
            List<PendingWrite> group, List<Either<StoreFailure, Long>> results, StoreFailure failure) {
        for (int index = 0; index < group.size(); index++) {
            Either<StoreFailure, Long> result = results.get(index);
            group.get(index).result = Optional.of(result.isRight() ? Either.left(failure) : result);
        }
    }

    private static void failAll(List<PendingWrite> group, StoreFailure failure) {
        group.forEach(write -> write.result = Optional.of(Either.left(failure)));
    }

    /** A failed read means that nothing was written, so an undetermined failure becomes a determined one. */
    private static StoreFailure asNotWritten(StoreFailure failure) {
        return failure.isUndetermined()
                ? new StoreFailure.Unreachable("journal could not be read: " + failure)
                : failure;
    }
}
