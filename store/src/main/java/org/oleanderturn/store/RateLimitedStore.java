package org.oleanderturn.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Counts the calls to another store and limits their rate for this process.
 *
 * <p>Invariant: a call over the rate limit fails with {@link StoreFailure.Throttled} and never reaches the store. Calls
 * that keep a lease alive or revoke it are never refused, so that other calls can't cause the loss of a lease; later calls
 * wait for them instead. Thread safe.
 */
public final class RateLimitedStore implements Store {
    private final Store store;
    private final CallRateLimiter limiter;
    private final LongSupplier clockNanoseconds;
    private final Map<StoreOperation, LongAdder> calls = adders();
    private final Map<StoreOperation, LongAdder> failures = adders();
    private final Map<StoreOperation, LongAdder> throttled = adders();

    private RateLimitedStore(Store store, CallRateLimiter limiter, LongSupplier clockNanoseconds) {
        this.store = store;
        this.limiter = limiter;
        this.clockNanoseconds = clockNanoseconds;
    }

    /**
     * Returns a store that limits the calls to the given one.
     *
     * @param callsPerSecond the sustained rate
     * @param burst how many calls may be made at once
     * @param clockNanoseconds a clock that never goes back
     * @throws IllegalArgumentException when the rate is not between 1 and 1,000,000,000 or the burst is below 1
     */
    public static RateLimitedStore of(Store store, int callsPerSecond, int burst, LongSupplier clockNanoseconds) {
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        CallRateLimiter limiter = CallRateLimiter.of(callsPerSecond, burst, clockNanoseconds.getAsLong());
        return new RateLimitedStore(store, limiter, clockNanoseconds);
    }

    // -- queries

    /** Returns the counts since this store was created. */
    public StoreCounters counters() {
        return new StoreCounters(sums(calls), sums(failures), sums(throttled));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key) {
        return limited(StoreOperation.GET, () -> store.get(key));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key, Runnable onResponse) {
        return limited(StoreOperation.GET, () -> store.get(key, onResponse));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> list(String prefix) {
        return limited(StoreOperation.LIST, () -> store.list(prefix));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> listStale(String prefix) {
        return limited(StoreOperation.STALE_READ, () -> store.listStale(prefix));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> getStale(String key) {
        return limited(StoreOperation.STALE_READ, () -> store.getStale(key));
    }

    @Override
    public Either<StoreFailure, Boolean> isUnchanged(String key, long knownRevision) {
        return limited(StoreOperation.CHECK, () -> store.isUnchanged(key, knownRevision));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long knownRevision, Duration wait) {
        return limited(StoreOperation.WATCH, () -> store.watch(key, knownRevision, wait));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(
            String key, long knownRevision, Duration wait, Runnable onResponse) {
        return limited(StoreOperation.WATCH, () -> store.watch(key, knownRevision, wait, onResponse));
    }

    // -- commands

    @Override
    public Either<StoreFailure, Long> compareAndSwap(String key, long expectedRevision, byte[] value) {
        return limited(StoreOperation.SWAP, () -> store.compareAndSwap(key, expectedRevision, value));
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwapLeased(
            String key, long expectedRevision, byte[] value, LeaseId lease) {
        return limited(StoreOperation.SWAP, () -> store.compareAndSwapLeased(key, expectedRevision, value, lease));
    }

    @Override
    public Either<StoreFailure, Long> remove(String key, long expectedRevision) {
        return limited(StoreOperation.REMOVE, () -> store.remove(key, expectedRevision));
    }

    @Override
    public Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        return limited(StoreOperation.GRANT_LEASE, () -> store.grantLease(timeToLive));
    }

    @Override
    public Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        return exempt(StoreOperation.KEEP_ALIVE, () -> store.keepAlive(lease));
    }

    @Override
    public Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
        return exempt(StoreOperation.REVOKE_LEASE, () -> store.revokeLease(lease));
    }

    // -- rate limit

    private <T> Either<StoreFailure, T> limited(StoreOperation operation, Supplier<Either<StoreFailure, T>> call) {
        Optional<Duration> wait = limiter.tryAcquire(clockNanoseconds.getAsLong());
        if (wait.isPresent()) {
            throttled.get(operation).increment();
            return Either.left(new StoreFailure.Throttled(wait.get()));
        }
        return counted(operation, call);
    }

    private <T> Either<StoreFailure, T> exempt(StoreOperation operation, Supplier<Either<StoreFailure, T>> call) {
        limiter.acquireUnconditionally(clockNanoseconds.getAsLong());
        return counted(operation, call);
    }

    private <T> Either<StoreFailure, T> counted(StoreOperation operation, Supplier<Either<StoreFailure, T>> call) {
        calls.get(operation).increment();
        return call.get().peekLeft(failure -> failures.get(operation).increment());
    }

    private static Map<StoreOperation, LongAdder> adders() {
        Map<StoreOperation, LongAdder> adders = new EnumMap<>(StoreOperation.class);
        for (StoreOperation operation : StoreOperation.values()) {
            adders.put(operation, new LongAdder());
        }
        return adders;
    }

    private static Map<StoreOperation, Long> sums(Map<StoreOperation, LongAdder> adders) {
        Map<StoreOperation, Long> sums = new EnumMap<>(StoreOperation.class);
        adders.forEach((operation, adder) -> sums.put(operation, adder.sum()));
        return sums;
    }
}
