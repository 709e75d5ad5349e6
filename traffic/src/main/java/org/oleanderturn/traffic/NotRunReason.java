package org.oleanderturn.traffic;

/** Why a request did not run. Whoever gives one of these promises that the target never saw the request. */
public enum NotRunReason {
    /** The node of the target takes no new work. */
    DRAINING,
    /** The target is down or not yet ready. */
    TARGET_DOWN,
    /** The slots are taken and the queue is full. */
    QUEUE_FULL,
    /** The deadline would have passed before a slot became free. */
    DEADLINE,
    /** The caller gave up while the request waited. */
    CANCELLED,
    /** The request is a crash suspect and no target could run it alone in time. */
    SUSPECT_WAITING,
    /** The request crashed a target while it ran alone. */
    QUARANTINED,
    /** No connection to the target's node came about. */
    CONNECT_FAILED,
    /** No endpoint of the service takes new work. */
    NO_ENDPOINT,
    /** The target itself refused the request before running it. */
    TARGET_SHED,
    /** The durable claim of a booking could not be made. */
    CLAIM_UNAVAILABLE;

    /** Returns whether another endpoint may take the request now. */
    public boolean isRetryableElsewhere() {
        return switch (this) {
            case DRAINING, TARGET_DOWN, QUEUE_FULL, DEADLINE, SUSPECT_WAITING, CONNECT_FAILED, TARGET_SHED -> true;
            case CANCELLED, QUARANTINED, NO_ENDPOINT, CLAIM_UNAVAILABLE -> false;
        };
    }
}
