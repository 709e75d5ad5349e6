package org.oleanderturn.traffic;

/** Why a request did not run. Each reason guarantees that the target did not receive the request. */
public enum NotRunReason {
    /** The node of the target accepts no new requests. */
    DRAINING,
    /** The target is down or not yet ready. */
    TARGET_DOWN,
    /** The slots are taken and the queue is full. */
    QUEUE_FULL,
    /** The deadline would have passed before a slot was free. */
    DEADLINE,
    /** The caller cancelled the request while it was queued. */
    CANCELLED,
    /** The request is suspected of crashing targets and could not run exclusively in time. */
    SUSPECT_WAITING,
    /** The request crashed a target while it ran exclusively. */
    QUARANTINED,
    /** No connection to the node of the target could be established. */
    CONNECT_FAILED,
    /** No endpoint of the service accepts new requests. */
    NO_ENDPOINT,
    /** The target itself rejected the request before running it. */
    TARGET_SHED,
    /** The durable claim of a booking could not be recorded. */
    CLAIM_UNAVAILABLE;

    /** Returns whether the request may be sent to another endpoint now. */
    public boolean isRetryableElsewhere() {
        return switch (this) {
            case DRAINING, TARGET_DOWN, QUEUE_FULL, DEADLINE, SUSPECT_WAITING, CONNECT_FAILED, TARGET_SHED -> true;
            case CANCELLED, QUARANTINED, NO_ENDPOINT, CLAIM_UNAVAILABLE -> false;
        };
    }
}
