package org.oleanderturn.membership;

/**
 * Whether a member answers, as agreed between the members.
 *
 * <p>Invariant: the constants are in ascending order of precedence within one incarnation.
 */
public enum Liveness {
    /** The member answers. */
    ALIVE,
    /** The member did not answer; it may still refute the suspicion. */
    SUSPECT,
    /** The member did not refute in time. It may return with a higher incarnation. */
    UNREACHABLE,
    /** The member left on its own. It may return with a higher incarnation. */
    LEFT;

    /** Returns whether requests and probes are sent to members in this state. */
    public boolean isReachable() {
        return this == ALIVE || this == SUSPECT;
    }

    static Liveness higherPrecedence(Liveness first, Liveness second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
