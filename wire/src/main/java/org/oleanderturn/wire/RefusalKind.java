package org.oleanderturn.wire;

/** Why a server answered a request with an error. */
public enum RefusalKind {
    /** The request is not a well-formed frame; it was not handled. */
    MALFORMED,
    /** The request is larger than the server takes; it was not handled. */
    OVERSIZE,
    /** The rest of the request did not arrive in time; it was not handled. */
    STALLED,
    /** The server has as many connections as it takes; the request was not handled. */
    BUSY,
    /** The handler failed; the request may have been handled in part. */
    FAILED
}
