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
 * The content of a stand-in of the store: keys, leases that lapse and watches that wait.
 *
 * <p>Invariant: one revision counter rises with every write of any key. Thread safe; one lock guards everything and a
 * watch waits on its condition.
 */
final class StoreStandInMemory implements Store {
    private static final long LAPSE_CHECK_MILLISECONDS = 50;

    private record Lease(Duration timeToLive, long endMilliseconds) {}

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
        return locked(() -> Either.right(Optional.ofNullable(values.get(key))));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> list(String prefix) {
        return locked(() -> Either.right(values.tailMap(prefix, true).values().stream()
                .takeWhile(stored -> stored.key().startsWith(prefix))
                .toList()));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long seen, Duration wait) {
        long end = clockMilliseconds.getAsLong() + wait.toMillis();
        return locked(() -> {
            awaitChange(key, seen, end);
            return Either.right(Optional.ofNullable(values.get(key)).filter(stored -> stored.revision() != seen));
        });
    }

    long writes() {
        return locked(() -> writes);
    }

    long writtenBytes() {
        return locked(() -> writtenBytes);
    }

    // -- commands

    @Override
    public Either<StoreFailure, Long> compareAndSwap(String key, long expected, byte[] value) {
        return locked(() -> applySwap(key, expected, value, Optional.empty()));
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwapLeased(String key, long expected, byte[] value, LeaseId lease) {
        return locked(() -> applySwap(key, expected, value, Optional.of(lease)));
    }

    @Override
    public Either<StoreFailure, Long> remove(String key, long expected) {
        return locked(() -> {
            if (revisionOf(key) != expected) {
                return Either.left(new StoreFailure.Conflict(revisionOf(key)));
            }
            values.remove(key);
            owners.remove(key);
            return Either.right(nextRevision());
        });
    }

    @Override
    public Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        return locked(() -> {
            LeaseId lease = LeaseId.of(++leaseCount);
            leases.put(lease, new Lease(timeToLive, clockMilliseconds.getAsLong() + timeToLive.toMillis()));
            writes++;
            return Either.right(lease);
        });
    }

    @Override
    public Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        return locked(() -> {
            Lease held = leases.get(lease);
            if (held == null) {
                return Either.left(new StoreFailure.LeaseEnded(lease));
            }
            long end = clockMilliseconds.getAsLong() + held.timeToLive().toMillis();
            leases.put(lease, new Lease(held.timeToLive(), end));
            writes++;
            return Either.right(lease);
        });
    }

    @Override
    public Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
        return locked(() -> {
            endLease(lease);
            writes++;
            return Either.right(lease);
        });
    }

    // -- effects

    private <T> T locked(Supplier<T> effect) {
        lock.lock();
        try {
            endLapsedLeases();
            return effect.get();
        } finally {
            lock.unlock();
        }
    }

    private Either<StoreFailure, Long> applySwap(String key, long expected, byte[] value, Optional<LeaseId> lease) {
        if (value.length > StoreLimits.MAXIMUM_VALUE_BYTES) {
            return Either.left(new StoreFailure.ValueTooLarge(value.length, StoreLimits.MAXIMUM_VALUE_BYTES));
        }
        if (lease.isPresent() && !leases.containsKey(lease.get())) {
            return Either.left(new StoreFailure.LeaseEnded(lease.get()));
        }
        if (revisionOf(key) != expected) {
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

    private void endLapsedLeases() {
        long now = clockMilliseconds.getAsLong();
        List<LeaseId> lapsed = leases.entrySet().stream()
                .filter(entry -> entry.getValue().endMilliseconds() <= now)
                .map(Map.Entry::getKey)
                .toList();
        lapsed.forEach(this::endLease);
    }

    private void endLease(LeaseId lease) {
        leases.remove(lease);
        List<String> keys = owners.entrySet().stream()
                .filter(entry -> entry.getValue().equals(lease))
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(values::remove);
        keys.forEach(owners::remove);
        changed.signalAll();
    }

    private void awaitChange(String key, long seen, long endMilliseconds) {
        try {
            while (revisionOf(key) == seen) {
                long left = endMilliseconds - clockMilliseconds.getAsLong();
                if (left <= 0) {
                    return;
                }
                var _ = changed.await(Math.min(left, LAPSE_CHECK_MILLISECONDS), TimeUnit.MILLISECONDS);
                endLapsedLeases();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
