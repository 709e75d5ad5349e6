package org.oleanderturn.proxy;

/** How much care is taken that a failure says truly whether a request can have run. */
public enum SendPolicy {
    /** For requests that may run twice: a pooled connection is taken as it is. */
    POOLED,
    /** For requests that may run twice: a connection used moments ago is taken without a look at it, which costs much. */
    POOLED_UNCHECKED,
    /** For bookings to a node: the body is sent only when the peer asks for it, and nothing runs before. */
    EXPECT_CONTINUE,
    /** For bookings to a target: a new connection, which the target can't have been closing as idle. */
    NEW_CONNECTION,
    /** For single requests to a target: a connection that was used moments ago, which the target keeps open, or a new one. */
    RECENT_CONNECTION
}
