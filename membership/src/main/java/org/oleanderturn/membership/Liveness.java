package org.oleanderturn.membership;

/**
 * Whether a member answers, as the members agree.
 *
 * <p>Invariant: the order of the constants is the order of precedence within one incarnation; the later one wins.
 */
public enum Liveness {
    /** Answers. */
    ALIVE,
    /** Did not answer; it may still refute. */
    SUSPECT,
    /** Did not refute in time. It may come back with a higher incarnation. */
    UNREACHABLE,
    /** Left by its own will. It may come back with a higher incarnation. */
    LEFT;

    /** Returns whether requests and probes go to such a member. */
    public boolean isReachable() {
        return this == ALIVE || this == SUSPECT;
    }

    static Liveness higherPrecedence(Liveness first, Liveness second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
