package org.oleanderturn.traffic;

/** What the answers that all nodes counted say of the new version of a service's targets, compared with the old one. */
public enum RolloutVerdict {
    /** Too few answers of the new version. */
    TOO_FEW,
    /** More of its answers are bad than is likely by chance, and too few to be certain. */
    UNCLEAR,
    /** The new version is no worse on any route. */
    NO_WORSE,
    /** More of its answers are bad. */
    MORE_FAILURES,
    /** Its answers take longer. */
    SLOWER;

    /** Returns whether the new version has to be rolled back. */
    boolean isWorse() {
        return this == MORE_FAILURES || this == SLOWER;
    }
}
