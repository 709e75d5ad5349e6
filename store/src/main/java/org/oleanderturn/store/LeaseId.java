package org.oleanderturn.store;

/**
 * Identifies a lease of the platform's store.
 *
 * <p>Immutable and thread safe.
 */
public record LeaseId(long number) {

    /** Returns the lease id with the given number. */
    public static LeaseId of(long number) {
        return new LeaseId(number);
    }
}
