package org.oleanderturn.model;

/** Whether a target takes new work. */
public enum EndpointState {
    /** Not yet taking work: the node or its target is not ready. */
    STARTING,
    /** Taking work. */
    READY,
    /** Finishing what is in flight; takes no new work. */
    DRAINING,
    /** Gone for good under this incarnation. */
    LEFT
}
