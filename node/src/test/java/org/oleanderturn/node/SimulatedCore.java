package org.oleanderturn.node;

/** A host's share of a core, which does one thing after the other. Used by one task at a time. */
final class SimulatedCore {
    private final double share;
    private long freeNanoseconds;

    SimulatedCore(double share) {
        this.share = share;
    }

    /** Returns how long the work that runs now takes to do more, all times in nanoseconds; what waits is done later. */
    long extend(long now, long processorTime) {
        long duration = Math.round(processorTime / share);
        freeNanoseconds = Math.max(now, freeNanoseconds) + duration;
        return duration;
    }

    /** Keeps the core from all work for some time, all times in nanoseconds. */
    void stall(long now, long duration) {
        freeNanoseconds = Math.max(now, freeNanoseconds) + duration;
    }

    /** Returns when work that arrives at the given moment is done, all times in nanoseconds. */
    long finish(long arrival, long processorTime) {
        freeNanoseconds = Math.max(arrival, freeNanoseconds) + Math.round(processorTime / share);
        return freeNanoseconds;
    }
}
