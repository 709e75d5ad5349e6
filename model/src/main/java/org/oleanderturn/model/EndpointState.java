package org.oleanderturn.model;

/** The lifecycle state of a target, which determines whether it accepts new requests. */
public enum EndpointState {
    /** Does not accept requests yet: the node or its target is not ready. */
    STARTING,
    /** Accepts requests. */
    READY,
    /** Completes the requests in flight and accepts no new ones. */
    DRAINING,
    /** Has left the mesh; only a higher incarnation can return. */
    LEFT
}
