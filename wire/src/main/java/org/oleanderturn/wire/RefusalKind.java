package org.oleanderturn.wire;

/** Why a server answered a request with an error. */
public enum RefusalKind {
    /** The request is not a well-formed frame; it was not handled. */
    MALFORMED,
    /** The request exceeds the server's size limit; it was not handled. */
    OVERSIZE,
    /** The rest of the request did not arrive in time; it was not handled. */
    STALLED,
    /** The server has reached its connection limit; the request was not handled. */
    BUSY,
    /** The handler failed; the request may have been partly handled. */
    FAILED
}
