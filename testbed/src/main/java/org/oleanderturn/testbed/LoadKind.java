package org.oleanderturn.testbed;

/** The kinds of request that a load is made of. */
public enum LoadKind {
    /** A short request that may be repeated. */
    LOOKUP,
    /** A request that runs at most once under its idempotency key. */
    BOOKING,
    /** A request with a long answer. */
    DOWNLOAD
}
