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
 * A store whose calls are counted and held to this process's budget.
 *
 * <p>Invariant: a call over the budget is {@link StoreFailure.Throttled} and never reaches the store; keeping a lease
 * alive or ending it passes in any case and is charged to later calls, so that other work can't cost a lease. Thread
 * safe.
 */
public final class RateLimitedStore implements Store {
    private final Store store;
    private final CallRateLimiter limiter;
    private final LongSupplier clockNanoseconds;
    private final Map<StoreOperation, LongAdder> calls = adders();
    private final Map<StoreOperation, LongAdder> failures = adders();
    private final Map<StoreOperation, LongAdder> throttled = adders();

    private RateLimitedStore(Store store, CallRateLimiter budget, LongSupplier clockNanoseconds) {
        this.store = store;
        this.limiter = budget;
        this.clockNanoseconds = clockNanoseconds;
    }

    /**
     * Returns a store that holds the given one to a budget.
     *
     * @param callsPerSecond the lasting rate
     * @param burst the calls that may come at once
     * @param clockNanoseconds a clock that never goes back
     */
    public static RateLimitedStore of(Store store, int callsPerSecond, int burst, LongSupplier clockNanoseconds) {
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        CallRateLimiter budget = CallRateLimiter.of(callsPerSecond, burst, clockNanoseconds.getAsLong());
        return new RateLimitedStore(store, budget, clockNanoseconds);
    }

    // -- queries

    /** Returns what was counted since the start. */
    public StoreCounters counters() {
        return new StoreCounters(sums(calls), sums(failures), sums(throttled));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key) {
        return limited(StoreOperation.GET, () -> store.get(key));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> list(String prefix) {
        return limited(StoreOperation.LIST, () -> store.list(prefix));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long seen, Duration wait) {
        return limited(StoreOperation.WATCH, () -> store.watch(key, seen, wait));
    }

    // -- commands

    @Override
    public Either<StoreFailure, Long> compareAndSwap(String key, long expected, byte[] value) {
        return limited(StoreOperation.SWAP, () -> store.compareAndSwap(key, expected, value));
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwapLeased(String key, long expected, byte[] value, LeaseId lease) {
        return limited(StoreOperation.SWAP, () -> store.compareAndSwapLeased(key, expected, value, lease));
    }

    @Override
    public Either<StoreFailure, Long> remove(String key, long expected) {
        return limited(StoreOperation.REMOVE, () -> store.remove(key, expected));
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

    // -- budget

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
