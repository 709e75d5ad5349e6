package org.oleanderturn.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The room for the bodies of all requests that an entry holds at once.
 *
 * <p>Invariant: what is reserved never exceeds the limit. Thread safe.
 */
final class BodyMemoryBudget {
    private static final int HEAP_DIVISOR = 4;

    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    private BodyMemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns an unused budget of the given size in bytes. */
    static BodyMemoryBudget of(long limitBytes) {
        return new BodyMemoryBudget(limitBytes);
    }

    /** Returns an unused budget of a part of the largest heap. */
    static BodyMemoryBudget ofHeapShare() {
        return new BodyMemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    // -- queries

    long limitBytes() {
        return limitBytes;
    }

    long reservedBytes() {
        return reservedBytes.get();
    }

    // -- commands

    /** Reserves room; returns whether there was any, and only then it is to be released. */
    boolean tryReserve(long bytes) {
        long before = reservedBytes.getAndUpdate(held -> held + bytes <= limitBytes ? held + bytes : held);
        return before + bytes <= limitBytes;
    }

    void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
