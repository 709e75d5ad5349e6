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
    private final SlotRequest request;
    private final long sequence;
    private final long requestedNanoseconds;
    private final CompletableFuture<SlotDecision> decision = new CompletableFuture<>();
    private final AtomicBoolean isSlotHeld = new AtomicBoolean();
    private volatile long grantedNanoseconds;

    SlotTicket(SlotRequest demand, long number, long requestedNanoseconds) {
        this.request = demand;
        this.sequence = number;
        this.requestedNanoseconds = requestedNanoseconds;
    }

    // -- queries

    int rank() {
        return request.rank();
    }

    /** Returns when the request's answer loses worth. */
    long softDeadlineNanoseconds() {
        return requestedNanoseconds + request.untilSoftDeadline().toNanos();
    }

    /** Returns whether the answer loses worth before it can come, when the request gets its slot now. */
    boolean isLateAt(long now) {
        return now + request.expectedRun().toNanos() - softDeadlineNanoseconds() > 0;
    }

    /** Returns how much longer the request may wait; negative when that is over. */
    Duration remainingWaitAt(long now) {
        return request.maximumWait().minusNanos(now - requestedNanoseconds);
    }

    long sequence() {
        return sequence;
    }

    long grantedNanoseconds() {
        return grantedNanoseconds;
    }

    /** Returns how long the request waited for its slot; zero before it has one. */
    public Duration waited() {
        return isSlotHeld.get() ? Duration.ofNanos(grantedNanoseconds - requestedNanoseconds) : Duration.ZERO;
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

    void markGranted(long nanoseconds) {
        grantedNanoseconds = nanoseconds;
        isSlotHeld.set(true);
    }

    void settle(SlotDecision settled) {
        decision.complete(settled);
    }

    /** Returns whether the ticket held a slot until now. */
    boolean tryRelease() {
        return isSlotHeld.getAndSet(false);
    }
}
