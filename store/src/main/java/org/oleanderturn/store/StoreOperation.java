package org.oleanderturn.store;

/** The operations of the store, as they are counted. */
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
