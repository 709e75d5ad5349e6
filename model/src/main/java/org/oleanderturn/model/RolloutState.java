package org.oleanderturn.model;

/** What the nodes state of a rollout in the store. */
public enum RolloutState {
    /** A node has taken up the order. */
    RUNNING,
    /** The targets of the old version get no requests any more. */
    COMPLETED,
    /** The targets of the new version get no requests any more. */
    ROLLED_BACK
}
