package org.oleanderturn.traffic;

/** How a request that held a permit ended. */
public enum RunOutcome {
    /** The target responded. */
    SUCCEEDED,
    /** The target responded with an error of its own. */
    FAILED,
    /** The target rejected the request because it was overloaded. */
    SHED,
    /** The caller cancelled the request. */
    CANCELLED,
    /** The target crashed. */
    TARGET_CRASHED;

    /** Returns whether the duration is representative of the target's service time. */
    public boolean isLatencySample() {
        return this == SUCCEEDED;
    }
}
