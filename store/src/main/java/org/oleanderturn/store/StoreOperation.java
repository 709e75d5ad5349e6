package org.oleanderturn.store;

/** The operations of the store by which calls are counted; writes with and without a lease are both {@link #SWAP}. */
public enum StoreOperation {
    GET,
    LIST,
    WATCH,
    SWAP,
    REMOVE,
    GRANT_LEASE,
    KEEP_ALIVE,
    REVOKE_LEASE
}
