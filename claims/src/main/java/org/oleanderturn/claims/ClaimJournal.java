package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oleanderturn.model.Codec;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * The claims of one partition, stored as a single value.
 *
 * <p>Invariant: the sequence increases with every record written, so the revision of an entry is never reused.
 * Immutable and thread safe.
 *
 * @param sequence the highest revision assigned to an entry so far
 * @param entries the records by the digest of their idempotency key, in hexadecimal
 */
record ClaimJournal(long sequence, Map<String, Entry> entries) {

    /** A record with the revision at which it was written. */
    record Entry(long revision, ClaimRecord record) {}

    ClaimJournal {
        entries = Map.copyOf(entries);
    }

    static ClaimJournal empty() {
        return new ClaimJournal(StoredValue.ABSENT, Map.of());
    }

    static Either<StoreFailure, ClaimJournal> decode(byte[] value) {
        return Codec.messagePack()
                .decode(value, ClaimJournal.class)
                .mapLeft(failure -> new StoreFailure.Malformed(failure.toString()));
    }

    // -- core operations

    byte[] encode() {
        return Codec.messagePack().encode(this);
    }

    Optional<Entry> find(IdempotencyKey key) {
        return Optional.ofNullable(entries.get(key.digest().hexadecimal()));
    }

    /** Returns the journal with the key's record replaced. */
    ClaimJournal put(IdempotencyKey key, ClaimRecord record) {
        Map<String, Entry> changed = new HashMap<>(entries);
        changed.put(key.digest().hexadecimal(), new Entry(sequence + 1, record));
        return new ClaimJournal(sequence + 1, changed);
    }

    /** Returns the journal without the records that were claimed before the given time. */
    ClaimJournal withoutClaimedBefore(long claimedBeforeMilliseconds) {
        Map<String, Entry> kept = new HashMap<>(entries);
        kept.values().removeIf(entry -> entry.record().claimedAtMilliseconds() < claimedBeforeMilliseconds);
        return new ClaimJournal(sequence, kept);
    }

    // -- derived operations

    long revisionOf(IdempotencyKey key) {
        return find(key).map(Entry::revision).orElse(StoredValue.ABSENT);
    }
}
