package org.oleanderturn.testbed;

/** Whether a measure kept its bound. */
public enum BenchVerdict {
    /** Every repeat kept the bound. */
    MET,
    /** At least one repeat broke the bound. */
    BROKEN,
    /** The measure has no bound. */
    NO_BOUND
}
