package org.oleanderturn.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that the buffered bodies of many requests take together.
 *
 * <p>Invariant: the reserved bytes never exceed the limit. Thread safe.
 */
public final class BodyMemoryBudget {
    private static final int HEAP_DIVISOR = 4;

    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    private BodyMemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns an unused budget with the given limit in bytes. */
    public static BodyMemoryBudget of(long limitBytes) {
        return new BodyMemoryBudget(limitBytes);
    }

    /** Returns an unused budget of a quarter of the maximum heap size. */
    public static BodyMemoryBudget ofHeapShare() {
        return new BodyMemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    // -- queries

    long limitBytes() {
        return limitBytes;
    }

    /** Returns the bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes.get();
    }

    // -- commands

    /** Reserves memory if the limit allows it; only a successful reservation must be released. */
    boolean tryReserve(long bytes) {
        long before = reservedBytes.getAndUpdate(current -> current + bytes <= limitBytes ? current + bytes : current);
        return before + bytes <= limitBytes;
    }

    void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
