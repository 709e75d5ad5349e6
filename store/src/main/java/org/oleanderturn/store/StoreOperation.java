package org.oleanderturn.store;

/**
 * The operations of the store by which calls are counted; writes with and without a lease are both {@link #SWAP}, and
 * {@link #CHECK} asks for a revision without its value.
 */
public enum StoreOperation {
    GET,
    LIST,
    STALE_READ,
    CHECK,
    WATCH,
    SWAP,
    REMOVE,
    GRANT_LEASE,
    KEEP_ALIVE,
    REVOKE_LEASE
}
