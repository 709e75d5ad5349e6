package org.oleanderturn.proxy;

/** Why a node reports the outcome of a request as unknown. */
public enum UnknownReason {
    /** The request was sent, and its response did not arrive in time. */
    TIMED_OUT,
    /** The request was sent, and its response was lost. */
    ANSWER_LOST,
    /** The target crashed while it ran the request. */
    TARGET_DIED,
    /** The target ran the request and returned a server error. */
    FAILED,
    /** The booking was already sent to the target under the same claim. */
    DUPLICATE_CLAIM,
    /** Another request holds the claim of this idempotency key, so the booking is not run again. */
    CLAIM_IN_PROGRESS
}
