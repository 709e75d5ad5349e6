package org.oleanderturn.store;

import java.util.Objects;

/**
 * The value of a key at one revision.
 *
 * <p>Invariant: the revision is positive and rises with every write of the key. The value's bytes must not be changed.
 *
 * @param revision the revision of the write
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredValue(String key, long revision, byte[] value) {

    /** The revision of a key that is absent. */
    public static final long ABSENT = 0;

    /** Throws a {@link NullPointerException} when a component is null. */
    public StoredValue {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }

    /** Returns the value of a key; the bytes are not copied. */
    public static StoredValue of(String key, long revision, byte[] value) {
        return new StoredValue(key, revision, value);
    }
}
