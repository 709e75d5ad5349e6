package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleanderturn.model.Codec;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * Stores each claim under its own key, with a lease that ends after the retention.
 *
 * <p>Each claim takes one write, and its result another. Thread safe.
 */
final class KeyedClaimStore implements ClaimStore {
    private static final String PREFIX = "claims/";

    private final Store store;
    private final RetentionLease lease;

    private KeyedClaimStore(Store store, RetentionLease lease) {
        this.store = store;
        this.lease = lease;
    }

    static KeyedClaimStore of(Store store, Duration retention, LongSupplier clockMilliseconds) {
        Objects.requireNonNull(store, "store is null");
        return new KeyedClaimStore(store, RetentionLease.of(store, retention, clockMilliseconds));
    }

    @Override
    public Either<StoreFailure, Optional<Versioned>> read(IdempotencyKey key) {
        return store.get(storeKey(key))
                .flatMap(found -> found.isEmpty()
                        ? Either.right(Optional.empty())
                        : decode(found.get()).map(Optional::of));
    }

    @Override
    public Either<StoreFailure, Long> write(IdempotencyKey key, long expectedRevision, ClaimRecord record) {
        byte[] value = Codec.messagePack().encode(record);
        Either<StoreFailure, Long> first = writeOnce(key, expectedRevision, value);
        if (first.isLeft() && first.getLeft() instanceof StoreFailure.LeaseEnded(LeaseId ended)) {
            lease.invalidate(ended);
            return writeOnce(key, expectedRevision, value);
        }
        return first;
    }

    private Either<StoreFailure, Long> writeOnce(IdempotencyKey key, long expectedRevision, byte[] value) {
        return lease.obtain()
                .flatMap(obtained -> store.compareAndSwapLeased(storeKey(key), expectedRevision, value, obtained));
    }

    private static Either<StoreFailure, Versioned> decode(StoredValue stored) {
        return Codec.messagePack()
                .decode(stored.value(), ClaimRecord.class)
                .<StoreFailure>mapLeft(failure -> new StoreFailure.Malformed(failure.toString()))
                .map(record -> new Versioned(stored.revision(), record));
    }

    private static String storeKey(IdempotencyKey key) {
        return PREFIX + key.digest();
    }
}
