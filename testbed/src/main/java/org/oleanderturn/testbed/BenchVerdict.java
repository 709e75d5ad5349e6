package org.oleanderturn.testbed;

/** Whether a measure meets its bound. */
public enum BenchVerdict {
    /** Every sample is within the bound. */
    MET,
    /** At least one sample is outside the bound. */
    BROKEN,
    /** The measure has no bound. */
    NO_BOUND
}
