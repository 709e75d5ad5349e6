package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request's place in a {@link SlotQueue}.
 *
 * <p>Invariant: settled once; its slot is given back once. Thread safe.
 */
public final class SlotTicket {
    private final SlotDemand demand;
    private final long number;
    private final long requestedNanoseconds;
    private final CompletableFuture<SlotDecision> decision = new CompletableFuture<>();
    private final AtomicBoolean isHeld = new AtomicBoolean();
    private volatile long grantedNanoseconds;

    SlotTicket(SlotDemand demand, long number, long requestedNanoseconds) {
        this.demand = demand;
        this.number = number;
        this.requestedNanoseconds = requestedNanoseconds;
    }

    // -- queries

    int rank() {
        return demand.rank();
    }

    /** Returns when the request's answer loses worth. */
    long dueNanoseconds() {
        return requestedNanoseconds + demand.worthWhile().toNanos();
    }

    /** Returns whether the answer loses worth before it can come, when the request gets its slot now. */
    boolean isLateAt(long now) {
        return now + demand.run().toNanos() - dueNanoseconds() > 0;
    }

    /** Returns how much longer the request may wait; negative when that is over. */
    Duration patienceAt(long now) {
        return demand.longestWait().minusNanos(now - requestedNanoseconds);
    }

    long number() {
        return number;
    }

    long grantedNanoseconds() {
        return grantedNanoseconds;
    }

    /** Returns how long the request waited for its slot; zero before it has one. */
    public Duration waited() {
        return isHeld.get() ? Duration.ofNanos(grantedNanoseconds - requestedNanoseconds) : Duration.ZERO;
    }

    /** Returns the decision, if there is one. */
    public Optional<SlotDecision> decision() {
        return Optional.ofNullable(decision.getNow(null));
    }

    /** Waits for the decision; empty when there is none in time. */
    public Optional<SlotDecision> await(Duration longest) throws InterruptedException {
        try {
            return Optional.of(decision.get(Math.max(0, longest.toNanos()), TimeUnit.NANOSECONDS));
        } catch (TimeoutException none) {
            return Optional.empty();
        } catch (ExecutionException defect) {
            throw new IllegalStateException("a ticket is never settled by a failure", defect);
        }
    }

    // -- commands

    void grantedAt(long nanoseconds) {
        grantedNanoseconds = nanoseconds;
        isHeld.set(true);
    }

    void settle(SlotDecision settled) {
        decision.complete(settled);
    }

    /** Returns whether the ticket held a slot until now. */
    boolean take() {
        return isHeld.getAndSet(false);
    }
}
