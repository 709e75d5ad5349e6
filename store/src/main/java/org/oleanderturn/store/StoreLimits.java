package org.oleanderturn.store;

/** Limits of the platform's store. */
public final class StoreLimits {
    /** The size of the largest value that a key may have. */
    public static final int MAXIMUM_VALUE_BYTES = 1_000_000;

    private StoreLimits() {}
}
