package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.oleanderturn.model.Locality;
import org.oleanderturn.store.HttpStore;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * A store client of a node in a given locality. Delays each call by the one-way delay in both directions, and fails with
 * {@link StoreFailure.Unreachable} while the locality is isolated.
 *
 * <p>Thread safe.
 */
final class BenchStore implements Store, AutoCloseable {
    private final HttpStore store;
    private final Locality locality;
    private final BenchNetwork network;
    private final LongAdder readBytes = new LongAdder();
    private final AtomicBoolean isClosed = new AtomicBoolean();

    BenchStore(HttpStore store, Locality locality, BenchNetwork network) {
        this.store = store;
        this.locality = locality;
        this.network = network;
    }

    /** Returns the total size of the values that this node read, in bytes. */
    long readBytes() {
        return readBytes.sum();
    }

    // -- queries

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key) {
        return call(() -> store.get(key)).peek(found -> found.ifPresent(this::count));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> list(String prefix) {
        return call(() -> store.list(prefix)).peek(found -> found.forEach(this::count));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long seen, Duration wait) {
        return call(() -> store.watch(key, seen, wait)).peek(found -> found.ifPresent(this::count));
    }

    // -- commands

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

    @Override
    public void close() {
        isClosed.set(true);
        store.close();
    }

    private <T> Either<StoreFailure, T> call(Supplier<Either<StoreFailure, T>> operation) {
        if (network.isIsolated(locality)) {
            return Either.left(new StoreFailure.Unreachable("locality is isolated"));
        }
        double oneWay = BenchLocalities.oneWayDelayToStoreMilliseconds(locality);
        BenchClock.pause(oneWay);
        Either<StoreFailure, T> result = operation.get();
        BenchClock.pause(oneWay);
        if (isClosed.get() || network.isIsolated(locality)) {
            return Either.left(new StoreFailure.Unreachable("closed or isolated during the call"));
        }
        return result;
    }

    private void count(StoredValue value) {
        readBytes.add(value.value().length);
    }
}
