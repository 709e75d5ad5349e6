package org.oleanderturn.claims;

import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The settlements that wait for the store: claims given up after a lost answer, and results not yet recorded.
 *
 * <p>Invariant: none of their bookings is run any more by this process. Losing one is safe; its key then answers
 * "outcome unknown" until the retention ends. Thread safe.
 */
final class PendingSettlements {
    /** How many may wait before new claims are refused. */
    static final int CAPACITY = 10_000;

    private final Queue<Settlement> waiting = new ConcurrentLinkedQueue<>();
    private final AtomicInteger count = new AtomicInteger();

    int count() {
        return count.get();
    }

    boolean isFull() {
        return count.get() >= CAPACITY;
    }

    void add(Settlement settlement) {
        waiting.add(settlement);
        count.incrementAndGet();
    }

    Optional<Settlement> poll() {
        Optional<Settlement> next = Optional.ofNullable(waiting.poll());
        next.ifPresent(settlement -> count.decrementAndGet());
        return next;
    }
}
