package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.util.Optional;
import org.oleanderturn.store.StoreFailure;

/**
 * Durable storage of one claim record per key, updated by compare-and-swap.
 *
 * <p>Invariant: a written record is kept for at least the retention. Implementations are thread safe.
 */
interface ClaimStore {

    /** A record with its revision. */
    record Versioned(long revision, ClaimRecord record) {}

    /** Reads the record of a key; empty if there is none. */
    Either<StoreFailure, Optional<Versioned>> read(IdempotencyKey key);

    /**
     * Writes the record of a key if its revision is the expected one.
     *
     * @param expectedRevision the expected revision; {@link org.oleanderturn.store.StoredValue#ABSENT} to create the
     *     record
     * @return the new revision; {@link StoreFailure.Conflict} if the revision was another; a failure that
     *     {@link StoreFailure#isUndetermined()} if the write may have taken effect or may still do so, but only while
     *     the revision is still the expected one
     */
    Either<StoreFailure, Long> write(IdempotencyKey key, long expectedRevision, ClaimRecord record);
}
