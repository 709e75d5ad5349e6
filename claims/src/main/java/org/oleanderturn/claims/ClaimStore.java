package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.util.Optional;
import org.oleanderturn.store.StoreFailure;

/**
 * Compare-and-swap of one claim record a key, durable in the platform's store.
 *
 * <p>Invariant: a record that was written stays for the retention at least. Implementations are thread safe.
 */
interface ClaimStore {

    /** A record at its revision. */
    record Versioned(long revision, ClaimRecord record) {}

    /** Reads a key's record; empty when there is none. */
    Either<StoreFailure, Optional<Versioned>> read(IdempotencyKey key);

    /**
     * Writes a key's record when its revision is the one expected.
     *
     * @param expected the expected revision; {@link org.oleanderturn.store.StoredValue#ABSENT} to create
     * @return the new revision; {@link StoreFailure.Conflict} when the revision was another, and a failure that
     *     {@link StoreFailure#isUndetermined()} when the write may have taken effect or may yet do so, but only while
     *     the revision is still the one expected
     */
    Either<StoreFailure, Long> write(IdempotencyKey key, long expected, ClaimRecord record);
}
