package org.oleanderturn.testbed;

/** The kinds of request that a load consists of. */
public enum LoadKind {
    /** A GET request with a short response; safe to repeat. */
    LOOKUP,
    /** A POST request that runs at most once under its idempotency key. */
    BOOKING,
    /** A GET request with a long, streamed response; safe to repeat. */
    DOWNLOAD
}
