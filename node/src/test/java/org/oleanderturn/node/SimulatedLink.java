package org.oleanderturn.node;

import java.util.concurrent.TimeUnit;

/** One direction of a link, which carries what arrives in order. Used by one task at a time. */
final class SimulatedLink {
    private static final int BITS_PER_BYTE = 8;

    private final double bitsPerSecond;
    private long freeNanoseconds;

    SimulatedLink(double megabitsPerSecond) {
        this.bitsPerSecond = megabitsPerSecond * 1_000_000;
    }

    /** Returns when bytes that arrive at the given moment have left the link, both in nanoseconds. */
    long carry(long arrival, long bytes) {
        freeNanoseconds = Math.max(arrival, freeNanoseconds)
                + Math.round(bytes * BITS_PER_BYTE / bitsPerSecond * TimeUnit.SECONDS.toNanos(1));
        return freeNanoseconds;
    }
}
