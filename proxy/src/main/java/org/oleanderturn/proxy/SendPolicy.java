package org.oleanderturn.proxy;

/**
 * Which connection a request is sent on, and whether its body waits for 100 (Continue). The stricter policies make sure
 * that a failure tells correctly whether the request can have run.
 */
public enum SendPolicy {
    /** For requests that may run twice: uses a pooled connection after a stale check. */
    POOLED,
    /**
     * For requests that may run twice: skips the stale check, which costs four system calls, on a recently used
     * connection.
     */
    POOLED_UNCHECKED,
    /** For bookings to a node: sends the body only after 100 (Continue), and the request does not run before that. */
    EXPECT_CONTINUE,
    /** For bookings to a target: opens a new connection, which the target cannot be closing as idle. */
    NEW_CONNECTION,
    /**
     * For single requests to a target: uses a connection only if it was used recently enough to be open, else a new
     * one.
     */
    RECENT_CONNECTION
}
