package org.oleanderturn.traffic;

/**
 * How far a rollout is. Later stages are the later ones in the order of declaration, so that of two statements about one
 * rollout the later stage holds.
 */
public enum RolloutStage {
    /** The new version may be bad: it gets no more than the share that may be exposed. */
    CANARY,
    /** The new version was no worse than the old one: both get half. */
    HALF,
    /** The new version gets all requests, so that no entry needs the old one when the rollout is completed. */
    ALL,
    /** The old version gets nothing. */
    COMPLETED,
    /** The new version gets nothing. */
    ROLLED_BACK;

    /** Returns whether the rollout has ended. */
    public boolean isFinal() {
        return this == COMPLETED || this == ROLLED_BACK;
    }
}
