package org.oleanderturn.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * An in-memory store with an injected clock, on which a test scripts the fault of each call.
 *
 * <p>Thread safe; a watch returns at once.
 */
public final class FakeStore implements Store {

    /** The fault of one call. */
    public enum Fault {
        /** The call succeeds. */
        NONE,
        /** The call never reaches the store. */
        UNREACHABLE,
        /** The call takes effect and its response is lost. */
        ANSWER_LOST,
        /** The call is lost on the way to the store, so it takes no effect; the caller can't tell. */
        REQUEST_LOST,
        /** The response is lost and the write takes effect when {@link FakeStore#applyLateWrites} is called. */
        EFFECT_LATE,
        /** The store refuses the call as over its rate limit. */
        THROTTLED
    }

    private final LongSupplier clockMilliseconds;
    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final Map<String, LeaseId> leaseByKey = new HashMap<>();
    private final Map<LeaseId, Long> leaseEndMilliseconds = new HashMap<>();
    private final Map<LeaseId, Long> leaseTimeToLiveMilliseconds = new HashMap<>();
    private final Deque<Fault> scriptedFaults = new ArrayDeque<>();
    private final Deque<Runnable> actionsBeforeCalls = new ArrayDeque<>();
    private final List<Runnable> lateWrites = new ArrayList<>();
    private Fault defaultFault = Fault.NONE;
    private long revision;
    private long nextLease;
    private long calls;
    private long writes;

    private FakeStore(LongSupplier clockMilliseconds) {
        this.clockMilliseconds = clockMilliseconds;
    }

    /** Returns an empty store whose leases end by the given clock. */
    public static FakeStore of(LongSupplier clockMilliseconds) {
        return new FakeStore(clockMilliseconds);
    }

    /** Returns an empty store whose leases never end, as its clock does not advance. */
    public static FakeStore create() {
        return new FakeStore(() -> 0);
    }

    // -- scripted faults

    /** Sets the faults of the next calls, in order; calls after them have the default fault. */
    public synchronized void scriptFaults(Fault... faults) {
        scriptedFaults.addAll(List.of(faults));
    }

    /** Sets the fault of every call whose fault is not scripted. */
    public synchronized void setDefaultFault(Fault fault) {
        defaultFault = fault;
    }

    /** Queues an action to run right before a call takes effect; each call runs one, in the order of queueing. */
    public synchronized void runBeforeCall(Runnable action) {
        actionsBeforeCalls.add(action);
    }

    /** Clears scripted faults, queued actions and the default fault; late writes stay pending. */
    public synchronized void clearFaults() {
        scriptedFaults.clear();
        actionsBeforeCalls.clear();
        defaultFault = Fault.NONE;
    }

    /** Applies every late write now, if the key still has the revision that the write expects. */
    public synchronized void applyLateWrites() {
        List<Runnable> due = List.copyOf(lateWrites);
        lateWrites.clear();
        due.forEach(Runnable::run);
    }

    /** Replaces all keys by the given ones, as a restore from a backup does; revisions keep rising. */
    public synchronized void restore(Map<String, byte[]> content) {
        values.clear();
        content.forEach((key, value) -> values.put(key, StoredValue.of(key, ++revision, value)));
    }

    /** Returns the value of every key. */
    public synchronized Map<String, byte[]> contents() {
        Map<String, byte[]> content = new TreeMap<>();
        values.forEach((key, stored) -> content.put(key, stored.value()));
        return content;
    }

    /** Returns how many calls were made, including those with a fault. */
    public synchronized long calls() {
        return calls;
    }

    /** Returns how many writes took effect. */
    public synchronized long writes() {
        return writes;
    }

    // -- queries

    @Override
    public synchronized Either<StoreFailure, Optional<StoredValue>> get(String key) {
        return read(() -> Optional.ofNullable(values.get(key)));
    }

    @Override
    public synchronized Either<StoreFailure, List<StoredValue>> list(String prefix) {
        return read(() -> values.tailMap(prefix, true).values().stream()
                .takeWhile(stored -> stored.key().startsWith(prefix))
                .toList());
    }

    @Override
    public synchronized Either<StoreFailure, Optional<StoredValue>> watch(
            String key, long knownRevision, Duration wait) {
        return read(() -> Optional.ofNullable(values.get(key)).filter(stored -> stored.revision() != knownRevision));
    }

    // -- commands

    @Override
    public synchronized Either<StoreFailure, Long> compareAndSwap(String key, long expectedRevision, byte[] value) {
        return write(() -> applySwap(key, expectedRevision, value, Optional.empty()));
    }

    @Override
    public synchronized Either<StoreFailure, Long> compareAndSwapLeased(
            String key, long expectedRevision, byte[] value, LeaseId lease) {
        return write(() -> applySwap(key, expectedRevision, value, Optional.of(lease)));
    }

    @Override
    public synchronized Either<StoreFailure, Long> remove(String key, long expectedRevision) {
        return write(() -> applyRemove(key, expectedRevision));
    }

    @Override
    public synchronized Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        return write(() -> {
            LeaseId lease = LeaseId.of(++nextLease);
            leaseTimeToLiveMilliseconds.put(lease, timeToLive.toMillis());
            leaseEndMilliseconds.put(lease, clockMilliseconds.getAsLong() + timeToLive.toMillis());
            return Either.right(lease);
        });
    }

    @Override
    public synchronized Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        return write(() -> {
            if (!leaseEndMilliseconds.containsKey(lease)) {
                return Either.left(new StoreFailure.LeaseEnded(lease));
            }
            leaseEndMilliseconds.put(lease, clockMilliseconds.getAsLong() + leaseTimeToLiveMilliseconds.get(lease));
            return Either.right(lease);
        });
    }

    @Override
    public synchronized Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
        return write(() -> {
            endLease(lease);
            return Either.right(lease);
        });
    }

    // -- effects

    private <T> Either<StoreFailure, T> read(Supplier<T> effect) {
        Fault fault = begin();
        return switch (fault) {
            case NONE -> Either.right(effect.get());
            case UNREACHABLE -> Either.left(new StoreFailure.Unreachable("scripted"));
            case ANSWER_LOST, REQUEST_LOST, EFFECT_LATE -> Either.left(new StoreFailure.Undetermined("scripted"));
            case THROTTLED -> Either.left(new StoreFailure.Throttled(Duration.ofSeconds(1)));
        };
    }

    private <T> Either<StoreFailure, T> write(Supplier<Either<StoreFailure, T>> effect) {
        Fault fault = begin();
        return switch (fault) {
            case NONE -> effect.get();
            case UNREACHABLE -> Either.left(new StoreFailure.Unreachable("scripted"));
            case THROTTLED -> Either.left(new StoreFailure.Throttled(Duration.ofSeconds(1)));
            case REQUEST_LOST -> Either.left(new StoreFailure.Undetermined("scripted"));
            case ANSWER_LOST -> {
                var _ = effect.get();
                yield Either.left(new StoreFailure.Undetermined("scripted"));
            }
            case EFFECT_LATE -> {
                lateWrites.add(() -> {
                    var _ = effect.get();
                });
                yield Either.left(new StoreFailure.Undetermined("scripted"));
            }
        };
    }

    private Fault begin() {
        calls++;
        endExpiredLeases();
        Runnable action = actionsBeforeCalls.poll();
        if (action != null) {
            action.run();
        }
        Fault fault = scriptedFaults.poll();
        return fault == null ? defaultFault : fault;
    }

    private Either<StoreFailure, Long> applySwap(
            String key, long expectedRevision, byte[] value, Optional<LeaseId> lease) {
        StoredValue current = values.get(key);
        long found = current == null ? StoredValue.ABSENT : current.revision();
        if (value.length > StoreLimits.MAXIMUM_VALUE_BYTES) {
            return Either.left(new StoreFailure.ValueTooLarge(value.length, StoreLimits.MAXIMUM_VALUE_BYTES));
        }
        if (lease.isPresent() && !leaseEndMilliseconds.containsKey(lease.get())) {
            return Either.left(new StoreFailure.LeaseEnded(lease.get()));
        }
        if (found != expectedRevision) {
            return Either.left(new StoreFailure.Conflict(found));
        }
        values.put(key, StoredValue.of(key, ++revision, value.clone()));
        leaseByKey.remove(key);
        lease.ifPresent(owner -> leaseByKey.put(key, owner));
        writes++;
        return Either.right(revision);
    }

    private Either<StoreFailure, Long> applyRemove(String key, long expectedRevision) {
        StoredValue current = values.get(key);
        long found = current == null ? StoredValue.ABSENT : current.revision();
        if (found != expectedRevision) {
            return Either.left(new StoreFailure.Conflict(found));
        }
        values.remove(key);
        leaseByKey.remove(key);
        writes++;
        return Either.right(++revision);
    }

    private void endExpiredLeases() {
        long now = clockMilliseconds.getAsLong();
        List<LeaseId> expired = leaseEndMilliseconds.entrySet().stream()
                .filter(entry -> entry.getValue() <= now)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::endLease);
    }

    private void endLease(LeaseId lease) {
        leaseEndMilliseconds.remove(lease);
        leaseTimeToLiveMilliseconds.remove(lease);
        List<String> keys = leaseByKey.entrySet().stream()
                .filter(entry -> entry.getValue().equals(lease))
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(values::remove);
        keys.forEach(leaseByKey::remove);
    }
}
