package org.oleanderturn.store;

/** What the platform's store takes. */
public final class StoreLimits {
    /** The largest value. */
    public static final int MAXIMUM_VALUE_BYTES = 1_000_000;

    private StoreLimits() {}
}
