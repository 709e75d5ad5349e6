package org.oleanderturn.node;

/** How far a request of a {@link SimulatedFleet} has come. */
enum RequestStage {
    /** The entry has not yet accepted the connection. */
    ACCEPT,
    /** The entry has accepted the connection and not yet read the request. */
    READ,
    /** A node is about to get a connection to a guard or to a target. */
    CONNECT,
    /** The entry has written the request to the guard of another node, which has not yet read it. */
    SENT,
    /** The request waits for a slot of a target. */
    SLOT,
    /** One attempt has failed, and the next is about to be sent. */
    RETRY,
    /** A target runs the request. */
    RUN
}
