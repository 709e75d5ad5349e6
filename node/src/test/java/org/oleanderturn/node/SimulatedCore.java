package org.oleanderturn.node;

/** A host's share of a core, which does one thing after the other. Used by one task at a time. */
final class SimulatedCore {
    private final double share;
    private long freeNanoseconds;

    SimulatedCore(double share) {
        this.share = share;
    }

    /** Returns when work that arrives at the given moment is done, all times in nanoseconds. */
    long finish(long arrival, long processorTime) {
        freeNanoseconds = Math.max(arrival, freeNanoseconds) + Math.round(processorTime / share);
        return freeNanoseconds;
    }
}
