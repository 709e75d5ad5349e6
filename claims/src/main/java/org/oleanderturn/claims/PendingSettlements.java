package org.oleanderturn.claims;

import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The queue of settlements that could not be written yet: releases of claims that were abandoned after a lost answer,
 * and results that are not yet recorded.
 *
 * <p>Invariant: this process will not run the booking of any queued settlement. Losing a settlement is safe: attempts
 * with its key are then answered with "outcome unknown" until the retention ends. Thread safe.
 */
final class PendingSettlements {
    /** Number of pending settlements at which new claims are refused. */
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
