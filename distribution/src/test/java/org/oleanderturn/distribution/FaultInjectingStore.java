package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * A node's access to a {@link FakeStore}: injects faults or runs actions at chosen calls and a check after each call.
 */
final class FaultInjectingStore implements Store {
    private final FakeStore store;
    private final Runnable afterEachCall;
    private final Map<Integer, FakeStore.Fault> faults = new HashMap<>();
    private final Map<Integer, Runnable> actionsBefore = new HashMap<>();
    private int crashAfter = Integer.MAX_VALUE;
    private int calls;

    FaultInjectingStore(FakeStore store, Runnable afterEachCall) {
        this.store = store;
        this.afterEachCall = afterEachCall;
    }

    /** Simulates that the process crashes right after a call. */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    void injectFault(int call, FakeStore.Fault fault) {
        faults.put(call, fault);
    }

    void runBefore(int call, Runnable action) {
        actionsBefore.merge(call, action, (first, second) -> () -> {
            first.run();
            second.run();
        });
    }

    void crashAfter(int call) {
        crashAfter = call;
    }

    int calls() {
        return calls;
    }

    private <T> T call(Supplier<T> effect) {
        int number = calls++;
        actionsBefore.getOrDefault(number, () -> {}).run();
        Optional.ofNullable(faults.get(number)).ifPresent(store::scriptFaults);
        T result = effect.get();
        afterEachCall.run();
        if (number >= crashAfter) {
            throw new Crash();
        }
        return result;
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key) {
        return call(() -> store.get(key));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> list(String prefix) {
        return call(() -> store.list(prefix));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long seen, Duration wait) {
        return call(() -> store.watch(key, seen, wait));
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwap(String key, long expected, byte[] value) {
        return call(() -> store.compareAndSwap(key, expected, value));
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwapLeased(String key, long expected, byte[] value, LeaseId lease) {
        return call(() -> store.compareAndSwapLeased(key, expected, value, lease));
    }

    @Override
    public Either<StoreFailure, Long> remove(String key, long expected) {
        return call(() -> store.remove(key, expected));
    }

    @Override
    public Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        return call(() -> store.grantLease(timeToLive));
    }

    @Override
    public Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        return call(() -> store.keepAlive(lease));
    }

    @Override
    public Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
        return call(() -> store.revokeLease(lease));
    }
}
