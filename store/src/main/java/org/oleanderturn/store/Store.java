package org.oleanderturn.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A key-value store with revisions, leases and watches.
 *
 * <p>Every call blocks until the store responds or the call times out. The platform counts and limits calls; a watch counts
 * as one, however long it waits. Implementations are thread safe.
 */
public interface Store {

    // -- queries

    /** Reads a key; empty when it is absent. */
    Either<StoreFailure, Optional<StoredValue>> get(String key);

    /**
     * Reads a key as {@link #get(String)} does.
     *
     * @param onResponse is run when the head of the response has arrived, which may be long before a large value has; also
     *     where the response turns out to be a failure
     */
    default Either<StoreFailure, Optional<StoredValue>> get(String key, Runnable onResponse) {
        Either<StoreFailure, Optional<StoredValue>> response = get(key);
        onResponse.run();
        return response;
    }

    /** Reads every key that starts with the prefix, sorted by key. */
    Either<StoreFailure, List<StoredValue>> list(String prefix);

    /**
     * Reads every key that starts with the prefix as it was at a moment that may be seconds ago, at a lower cost than {@link
     * #list} where the store offers that.
     */
    default Either<StoreFailure, List<StoredValue>> listStale(String prefix) {
        return list(prefix);
    }

    /** Reads a key as it was at a moment that may be seconds ago, as {@link #listStale} does. */
    default Either<StoreFailure, Optional<StoredValue>> getStale(String key) {
        return get(key);
    }

    /** Returns whether a key is still at a revision that this client has read, without waiting and without its value. */
    default Either<StoreFailure, Boolean> isUnchanged(String key, long knownRevision) {
        return get(key).map(stored -> stored.map(StoredValue::revision).orElse(StoredValue.ABSENT) == knownRevision);
    }

    /**
     * Waits until the key's revision differs from the known one and reads the key; empty when the wait ends first, and at once
     * when the key was removed since the known revision.
     *
     * @param knownRevision the revision last read; {@link StoredValue#ABSENT} when the key was absent
     * @param wait the maximum wait
     */
    Either<StoreFailure, Optional<StoredValue>> watch(String key, long knownRevision, Duration wait);

    /**
     * Waits as {@link #watch(String, long, Duration)} does.
     *
     * @param onResponse is run when the head of the response has arrived, which may be long before a large value has; also
     *     where the response turns out to be a failure
     */
    default Either<StoreFailure, Optional<StoredValue>> watch(
            String key, long knownRevision, Duration wait, Runnable onResponse) {
        Either<StoreFailure, Optional<StoredValue>> response = watch(key, knownRevision, wait);
        onResponse.run();
        return response;
    }

    // -- commands

    /**
     * Writes a key if its revision is the expected one.
     *
     * @param expectedRevision {@link StoredValue#ABSENT} to create the key
     * @return the new revision; {@link StoreFailure.Conflict} when the revision was another, and
     *     {@link StoreFailure.Undetermined} when the response was lost, after which the write may still take effect
     */
    Either<StoreFailure, Long> compareAndSwap(String key, long expectedRevision, byte[] value);

    /** Writes a key as {@link #compareAndSwap} does; the platform removes the key when the lease ends. */
    Either<StoreFailure, Long> compareAndSwapLeased(String key, long expectedRevision, byte[] value, LeaseId lease);

    /** Removes a key if its revision is the expected one, and returns the revision of the removal. */
    Either<StoreFailure, Long> remove(String key, long expectedRevision);

    /** Grants a lease that ends unless it is kept alive within the given time. */
    Either<StoreFailure, LeaseId> grantLease(Duration timeToLive);

    /** Renews a lease for its time to live; {@link StoreFailure.LeaseEnded} when it has ended. */
    Either<StoreFailure, LeaseId> keepAlive(LeaseId lease);

    /** Ends a lease and removes its keys. */
    Either<StoreFailure, LeaseId> revokeLease(LeaseId lease);
}
