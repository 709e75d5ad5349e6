package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoreLimits;
import org.oleanderturn.store.StoredValue;

/**
 * The content of a store stand-in: keys, leases that expire and watches that wait for a change.
 *
 * <p>Invariant: one revision counter increases with every write or removal of any key; the keys of an ended lease are
 * removed without an increase. Thread safe; one lock guards all state, and watches wait on its condition.
 */
final class StoreStandInMemory implements Store {
    private static final long EXPIRY_CHECK_MILLISECONDS = 50;

    private record Lease(Duration timeToLive, long expiryMilliseconds) {}

    private final LongSupplier clockMilliseconds;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final Map<String, LeaseId> owners = new HashMap<>();
    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private long revision;
    private long leaseCount;
    private long writes;
    private long writtenBytes;

    private StoreStandInMemory(LongSupplier clockMilliseconds) {
        this.clockMilliseconds = clockMilliseconds;
    }

    static StoreStandInMemory of(LongSupplier clockMilliseconds) {
        return new StoreStandInMemory(clockMilliseconds);
    }

    // -- queries

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key) {
        return withLock(() -> Either.right(Optional.ofNullable(values.get(key))));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> list(String prefix) {
        return withLock(() -> Either.right(values.tailMap(prefix, true).values().stream()
                .takeWhile(stored -> stored.key().startsWith(prefix))
                .toList()));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long seenRevision, Duration wait) {
        long endMilliseconds = clockMilliseconds.getAsLong() + wait.toMillis();
        return withLock(() -> {
            awaitChange(key, seenRevision, endMilliseconds);
            return Either.right(
                    Optional.ofNullable(values.get(key)).filter(stored -> stored.revision() != seenRevision));
        });
    }

    long writes() {
        return withLock(() -> writes);
    }

    long writtenBytes() {
        return withLock(() -> writtenBytes);
    }

    // -- commands

    @Override
    public Either<StoreFailure, Long> compareAndSwap(String key, long expectedRevision, byte[] value) {
        return withLock(() -> applySwap(key, expectedRevision, value, Optional.empty()));
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwapLeased(
            String key, long expectedRevision, byte[] value, LeaseId lease) {
        return withLock(() -> applySwap(key, expectedRevision, value, Optional.of(lease)));
    }

    @Override
    public Either<StoreFailure, Long> remove(String key, long expectedRevision) {
        return withLock(() -> {
            if (revisionOf(key) != expectedRevision) {
                return Either.left(new StoreFailure.Conflict(revisionOf(key)));
            }
            values.remove(key);
            owners.remove(key);
            return Either.right(nextRevision());
        });
    }

    @Override
    public Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        return withLock(() -> {
            LeaseId lease = LeaseId.of(++leaseCount);
            leases.put(lease, new Lease(timeToLive, clockMilliseconds.getAsLong() + timeToLive.toMillis()));
            writes++;
            return Either.right(lease);
        });
    }

    @Override
    public Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        return withLock(() -> {
            Lease held = leases.get(lease);
            if (held == null) {
                return Either.left(new StoreFailure.LeaseEnded(lease));
            }
            long endMilliseconds =
                    clockMilliseconds.getAsLong() + held.timeToLive().toMillis();
            leases.put(lease, new Lease(held.timeToLive(), endMilliseconds));
            writes++;
            return Either.right(lease);
        });
    }

    @Override
    public Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
        return withLock(() -> {
            removeLease(lease);
            writes++;
            return Either.right(lease);
        });
    }

    // -- effects

    private <T> T withLock(Supplier<T> effect) {
        lock.lock();
        try {
            expireLeases();
            return effect.get();
        } finally {
            lock.unlock();
        }
    }

    private Either<StoreFailure, Long> applySwap(
            String key, long expectedRevision, byte[] value, Optional<LeaseId> lease) {
        if (value.length > StoreLimits.MAXIMUM_VALUE_BYTES) {
            return Either.left(new StoreFailure.ValueTooLarge(value.length, StoreLimits.MAXIMUM_VALUE_BYTES));
        }
        if (lease.isPresent() && !leases.containsKey(lease.get())) {
            return Either.left(new StoreFailure.LeaseEnded(lease.get()));
        }
        if (revisionOf(key) != expectedRevision) {
            return Either.left(new StoreFailure.Conflict(revisionOf(key)));
        }
        long written = nextRevision();
        values.put(key, StoredValue.of(key, written, value.clone()));
        owners.remove(key);
        lease.ifPresent(owner -> owners.put(key, owner));
        writtenBytes += value.length;
        return Either.right(written);
    }

    private long revisionOf(String key) {
        StoredValue stored = values.get(key);
        return stored == null ? StoredValue.ABSENT : stored.revision();
    }

    private long nextRevision() {
        writes++;
        changed.signalAll();
        return ++revision;
    }

    private void expireLeases() {
        long now = clockMilliseconds.getAsLong();
        List<LeaseId> expired = leases.entrySet().stream()
                .filter(entry -> entry.getValue().expiryMilliseconds() <= now)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::removeLease);
    }

    private void removeLease(LeaseId lease) {
        leases.remove(lease);
        List<String> keys = owners.entrySet().stream()
                .filter(entry -> entry.getValue().equals(lease))
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(values::remove);
        keys.forEach(owners::remove);
        changed.signalAll();
    }

    private void awaitChange(String key, long seenRevision, long endMilliseconds) {
        try {
            while (revisionOf(key) == seenRevision) {
                long remainingMilliseconds = endMilliseconds - clockMilliseconds.getAsLong();
                if (remainingMilliseconds <= 0) {
                    return;
                }
                var _ = changed.await(
                        Math.min(remainingMilliseconds, EXPIRY_CHECK_MILLISECONDS), TimeUnit.MILLISECONDS);
                expireLeases();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
