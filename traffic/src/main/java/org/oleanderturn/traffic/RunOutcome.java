package org.oleanderturn.traffic;

/** How work that held a permit ended. */
public enum RunOutcome {
    /** The target answered. */
    SUCCEEDED,
    /** The target answered with an error of its own. */
    FAILED,
    /** The target refused the request as overload. */
    SHED,
    /** The caller gave up. */
    CANCELLED,
    /** The target died. */
    TARGET_CRASHED;

    /** Returns whether its duration tells how fast the target works. */
    public boolean isLatencySample() {
        return this == SUCCEEDED;
    }
}
