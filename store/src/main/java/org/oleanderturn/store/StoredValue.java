package org.oleanderturn.store;

import java.util.Objects;

/**
 * A key's value at one revision.
 *
 * <p>Invariant: the revision is positive and rises with every write of the key. The value's bytes are not to be changed.
 *
 * @param key the key
 * @param revision the revision that wrote the value
 * @param value the value's bytes
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredValue(String key, long revision, byte[] value) {

    /** The revision of a key that is absent. */
    public static final long ABSENT = 0;

    /** Checks that every part is there. */
    public StoredValue {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }

    /** Returns the value of a key at a revision. */
    public static StoredValue of(String key, long revision, byte[] value) {
        return new StoredValue(key, revision, value);
    }
}
