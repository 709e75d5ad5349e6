package org.oleanderturn.node;

import java.util.concurrent.TimeUnit;

/** One direction of a link, which carries the bytes of one message after the other. Used by one task at a time. */
final class SimulatedLink {
    private static final int BITS_PER_BYTE = 8;

    private final double bitsPerSecond;
    private long freeNanoseconds;

    SimulatedLink(double megabitsPerSecond) {
        this.bitsPerSecond = megabitsPerSecond * 1_000_000;
    }

    /** When the first and the last byte of a message pass a point. */
    record Passage(long firstNanoseconds, long lastNanoseconds) {
        static Passage at(long nanoseconds) {
            return new Passage(nanoseconds, nanoseconds);
        }

        Passage plus(long nanoseconds) {
            return new Passage(firstNanoseconds + nanoseconds, lastNanoseconds + nanoseconds);
        }
    }

    /** Returns when a message that reaches the link leaves it; call it in the order of their first bytes. */
    Passage carry(Passage arriving, long bytes) {
        long first = Math.max(arriving.firstNanoseconds(), freeNanoseconds);
        long last = first + Math.round(bytes * BITS_PER_BYTE / bitsPerSecond * TimeUnit.SECONDS.toNanos(1));
        freeNanoseconds = last;
        return new Passage(first, Math.max(last, arriving.lastNanoseconds()));
    }
}
