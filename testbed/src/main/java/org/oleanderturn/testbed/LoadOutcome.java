package org.oleanderturn.testbed;

/** The final result of a request, as far as its caller can tell. */
public enum LoadOutcome {
    /** A target ran it and its complete response was received. */
    ANSWERED,
    /** No attempt ran: each was refused or could not connect. */
    REFUSED_NOT_RUN,
    /** An attempt may have run, and no response says whether it did. */
    UNKNOWN,
    /** A lookup or download received no response or a truncated one. */
    LOST,
    /** The response is one that no node should send. */
    UNEXPECTED
}
