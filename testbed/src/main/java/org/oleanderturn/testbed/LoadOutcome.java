package org.oleanderturn.testbed;

/** What a caller knows of its request in the end. */
public enum LoadOutcome {
    /** A target ran it and its whole answer is here. */
    ANSWERED,
    /** Every sending was refused as not run. */
    REFUSED_NOT_RUN,
    /** Some sending may have run, and no answer tells. */
    UNKNOWN,
    /** A lookup or download got no answer at all, or a truncated one. */
    LOST,
    /** An answer came that no node should give. */
    UNEXPECTED
}
