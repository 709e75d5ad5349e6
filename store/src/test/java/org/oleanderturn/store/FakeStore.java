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
 * A store in memory with an injected clock, on which a test scripts the fault of each coming call.
 *
 * <p>Thread safe; a watch never waits, it answers at once.
 */
public final class FakeStore implements Store {

    /** What befalls one call. */
    public enum Fault {
        /** The call works. */
        NONE,
        /** The call never reaches the store. */
        UNREACHABLE,
        /** The call takes effect and its answer is lost. */
        ANSWER_LOST,
        /** The call takes no effect and its answer is lost. */
        REQUEST_LOST,
        /** The answer is lost and the write takes effect when {@link FakeStore#applyLateWrites} is called. */
        EFFECT_LATE,
        /** The store refuses the call for its rate. */
        THROTTLED
    }

    private final LongSupplier clockMilliseconds;
    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final Map<String, LeaseId> leaseByKey = new HashMap<>();
    private final Map<LeaseId, Long> leaseEnds = new HashMap<>();
    private final Map<LeaseId, Long> leaseTimes = new HashMap<>();
    private final Deque<Fault> scriptFaults = new ArrayDeque<>();
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

    /** Returns an empty store that reads the given clock. */
    public static FakeStore of(LongSupplier clockMilliseconds) {
        return new FakeStore(clockMilliseconds);
    }

    /** Returns an empty store whose clock stands still. */
    public static FakeStore create() {
        return new FakeStore(() -> 0);
    }

    // -- script

    /** Scripts the faults of the next calls, in order; calls after them have the standing fault. */
    public synchronized void scriptFaults(Fault... faults) {
        scriptFaults.addAll(List.of(faults));
    }

    /** Sets the fault of every call that is not scripted. */
    public synchronized void setDefaultFault(Fault fault) {
        defaultFault = fault;
    }

    /** Runs something right before a coming call takes effect, one interlude a call, in order. */
    public synchronized void runBeforeCall(Runnable action) {
        actionsBeforeCalls.add(action);
    }

    /** Drops what is scripted and standing; late writes stay due. */
    public synchronized void clearFaults() {
        scriptFaults.clear();
        actionsBeforeCalls.clear();
        defaultFault = Fault.NONE;
    }

    /** Lets every late write take effect now, if its expectation still holds. */
    public synchronized void applyLateWrites() {
        List<Runnable> due = List.copyOf(lateWrites);
        lateWrites.clear();
        due.forEach(Runnable::run);
    }

    /** Puts back an older content, as a restore of the platform does; revisions go on rising. */
    public synchronized void restore(Map<String, byte[]> content) {
        values.clear();
        content.forEach((key, value) -> values.put(key, StoredValue.of(key, ++revision, value)));
    }

    /** Returns every key's value. */
    public synchronized Map<String, byte[]> contents() {
        Map<String, byte[]> content = new TreeMap<>();
        values.forEach((key, stored) -> content.put(key, stored.value()));
        return content;
    }

    /** Returns how many calls came, faulty ones counted. */
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
    public synchronized Either<StoreFailure, Optional<StoredValue>> watch(String key, long seen, Duration wait) {
        return read(() -> Optional.ofNullable(values.get(key)).filter(stored -> stored.revision() != seen));
    }

    // -- commands

    @Override
    public synchronized Either<StoreFailure, Long> compareAndSwap(String key, long expected, byte[] value) {
        return write(() -> applySwap(key, expected, value, Optional.empty()));
    }

    @Override
    public synchronized Either<StoreFailure, Long> compareAndSwapLeased(
            String key, long expected, byte[] value, LeaseId lease) {
        return write(() -> applySwap(key, expected, value, Optional.of(lease)));
    }

    @Override
    public synchronized Either<StoreFailure, Long> remove(String key, long expected) {
        return write(() -> applyRemove(key, expected));
    }

    @Override
    public synchronized Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        return write(() -> {
            LeaseId lease = LeaseId.of(++nextLease);
            leaseTimes.put(lease, timeToLive.toMillis());
            leaseEnds.put(lease, clockMilliseconds.getAsLong() + timeToLive.toMillis());
            return Either.right(lease);
        });
    }

    @Override
    public synchronized Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        return write(() -> {
            if (!leaseEnds.containsKey(lease)) {
                return Either.left(new StoreFailure.LeaseEnded(lease));
            }
            leaseEnds.put(lease, clockMilliseconds.getAsLong() + leaseTimes.get(lease));
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
        Runnable interlude = actionsBeforeCalls.poll();
        if (interlude != null) {
            interlude.run();
        }
        Fault fault = scriptFaults.poll();
        return fault == null ? defaultFault : fault;
    }

    private Either<StoreFailure, Long> applySwap(String key, long expected, byte[] value, Optional<LeaseId> lease) {
        StoredValue current = values.get(key);
        long found = current == null ? StoredValue.ABSENT : current.revision();
        if (value.length > StoreLimits.MAXIMUM_VALUE_BYTES) {
            return Either.left(new StoreFailure.ValueTooLarge(value.length, StoreLimits.MAXIMUM_VALUE_BYTES));
        }
        if (lease.isPresent() && !leaseEnds.containsKey(lease.get())) {
            return Either.left(new StoreFailure.LeaseEnded(lease.get()));
        }
        if (found != expected) {
            return Either.left(new StoreFailure.Conflict(found));
        }
        values.put(key, StoredValue.of(key, ++revision, value.clone()));
        leaseByKey.remove(key);
        lease.ifPresent(owner -> leaseByKey.put(key, owner));
        writes++;
        return Either.right(revision);
    }

    private Either<StoreFailure, Long> applyRemove(String key, long expected) {
        StoredValue current = values.get(key);
        long found = current == null ? StoredValue.ABSENT : current.revision();
        if (found != expected) {
            return Either.left(new StoreFailure.Conflict(found));
        }
        values.remove(key);
        leaseByKey.remove(key);
        writes++;
        return Either.right(++revision);
    }

    private void endExpiredLeases() {
        long now = clockMilliseconds.getAsLong();
        List<LeaseId> lapsed = leaseEnds.entrySet().stream()
                .filter(entry -> entry.getValue() <= now)
                .map(Map.Entry::getKey)
                .toList();
        lapsed.forEach(this::endLease);
    }

    private void endLease(LeaseId lease) {
        leaseEnds.remove(lease);
        leaseTimes.remove(lease);
        List<String> keys = leaseByKey.entrySet().stream()
                .filter(entry -> entry.getValue().equals(lease))
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(values::remove);
        keys.forEach(leaseByKey::remove);
    }
}
