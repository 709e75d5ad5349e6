package org.oleanderturn.proxy;

/** Why a node can't say whether a request ran. */
public enum UnknownReason {
    /** The request was sent and its answer did not come in time. */
    TIMED_OUT,
    /** The request was sent and its answer is lost. */
    ANSWER_LOST,
    /** The target died while it ran the request. */
    TARGET_DIED,
    /** The target ran the request and failed. */
    FAILED,
    /** The booking was sent to the target under this claim before. */
    DUPLICATE_CLAIM,
    /** Another attempt holds the booking's claim; it does not run again. */
    CLAIM_IN_PROGRESS
}
