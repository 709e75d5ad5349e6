package org.oleanderturn.store;

/**
 * Identifies a lease of the store by the number that the store gave it.
 *
 * <p>Immutable and thread safe.
 */
public record LeaseId(long number) {

    /** Returns the id with the given number; any number is accepted. */
    public static LeaseId of(long number) {
        return new LeaseId(number);
    }
}
