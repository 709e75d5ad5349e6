package org.oleanderturn.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The platform's key-value store.
 *
 * <p>Every call blocks its thread until it is answered or given up; a call is counted by the platform, a waiting watch as
 * one. Implementations are thread safe.
 */
public interface Store {

    // -- queries

    /** Reads a key; empty when it is absent. */
    Either<StoreFailure, Optional<StoredValue>> get(String key);

    /** Reads every key that starts with the prefix, sorted by key. */
    Either<StoreFailure, List<StoredValue>> list(String prefix);

    /**
     * Waits until the key's revision differs from the one given, and reads it; empty when the wait ran out first, and at once
     * when a key that was seen is gone.
     *
     * @param seen the revision already known; {@link StoredValue#ABSENT} when the key was absent
     * @param wait the longest wait
     */
    Either<StoreFailure, Optional<StoredValue>> watch(String key, long seen, Duration wait);

    // -- commands

    /**
     * Writes a key when its revision is the one expected.
     *
     * @param expected the expected revision; {@link StoredValue#ABSENT} to create
     * @return the new revision; {@link StoreFailure.Conflict} when the revision was another, and
     *     {@link StoreFailure.Undetermined} when the answer was lost, after which the write may yet take effect
     */
    Either<StoreFailure, Long> compareAndSwap(String key, long expected, byte[] value);

    /** Writes a key as {@link #compareAndSwap} does; the platform removes the key when the lease ends. */
    Either<StoreFailure, Long> compareAndSwapLeased(String key, long expected, byte[] value, LeaseId lease);

    /** Removes a key when its revision is the one expected. */
    Either<StoreFailure, Long> remove(String key, long expected);

    /** Grants a lease that ends when it is not kept alive for the given time. */
    Either<StoreFailure, LeaseId> grantLease(Duration timeToLive);

    /** Keeps a lease alive; {@link StoreFailure.LeaseEnded} when it ended before. */
    Either<StoreFailure, LeaseId> keepAlive(LeaseId lease);

    /** Ends a lease and removes its keys. */
    Either<StoreFailure, LeaseId> revokeLease(LeaseId lease);
}
