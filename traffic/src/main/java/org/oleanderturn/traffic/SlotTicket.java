package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.oleanderturn.model.OrganisationName;

/**
 * A request for a slot in a {@link SlotQueue}.
 *
 * <p>Invariant: settled exactly once; its slot is freed at most once. Thread safe.
 */
public final class SlotTicket {
    private static final long SHORTEST_RUN_NANOSECONDS = 1_000_000;

    private final SlotRequest request;
    private final BooleanSupplier isKeyRemoved;
    private final long sequence;
    private final long requestedNanoseconds;
    private final CompletableFuture<SlotDecision> decision = new CompletableFuture<>();
    private final AtomicBoolean isSlotHeld = new AtomicBoolean();
    private volatile long grantedNanoseconds;
    private volatile boolean isOverShare;

    SlotTicket(SlotRequest request, BooleanSupplier isKeyRemoved, long sequence, long requestedNanoseconds) {
        this.request = request;
        this.isKeyRemoved = isKeyRemoved;
        this.sequence = sequence;
        this.requestedNanoseconds = requestedNanoseconds;
    }

    // -- queries

    int rank() {
        return request.rank();
    }

    Optional<OrganisationName> organisation() {
        return request.organisation();
    }

    /** Returns whether the key that the request was sent with has been removed since. */
    boolean isKeyRemoved() {
        return isKeyRemoved.getAsBoolean();
    }

    /** Returns how long the request is expected to hold its slot, in nanoseconds; never zero, so that each run counts. */
    long expectedRunNanoseconds() {
        return Math.max(SHORTEST_RUN_NANOSECONDS, request.expectedRun().toNanos());
    }

    /** Returns when the soft deadline is, in nanoseconds on the queue's clock. */
    long softDeadlineNanoseconds() {
        return requestedNanoseconds + request.untilSoftDeadline().toNanos();
    }

    /** Returns whether the request is expected to miss its soft deadline even if it gets a slot now. */
    boolean isLateAt(long now) {
        return now + request.expectedRun().toNanos() - softDeadlineNanoseconds() > 0;
    }

    /** Returns whether the request may well miss its soft deadline even if it gets a slot now. */
    boolean isUncertainAt(long now) {
        return now + request.cautiousRun().toNanos() - softDeadlineNanoseconds() > 0;
    }

    /** Returns how much longer the request may wait; negative once its maximum wait has passed. */
    Duration remainingWaitAt(long now) {
        return request.maximumWait().minusNanos(now - requestedNanoseconds);
    }

    long sequence() {
        return sequence;
    }

    /** Returns when the slot was requested, in nanoseconds on the queue's clock. */
    long requestedNanoseconds() {
        return requestedNanoseconds;
    }

    /** Returns whether the organisation had had more than its share when the decision was made. */
    public boolean isOverShare() {
        return isOverShare;
    }

    long grantedNanoseconds() {
        return grantedNanoseconds;
    }

    /** Returns how long the request waited for the slot that it holds; zero if it holds none. */
    public Duration waited() {
        return isSlotHeld.get() ? Duration.ofNanos(grantedNanoseconds - requestedNanoseconds) : Duration.ZERO;
    }

    /** Returns the decision; empty while the request waits. */
    public Optional<SlotDecision> decision() {
        return Optional.ofNullable(decision.getNow(null));
    }

    /** Blocks until the decision; empty if the timeout expires first. */
    public Optional<SlotDecision> await(Duration timeout) throws InterruptedException {
        try {
            return Optional.of(decision.get(Math.max(0, timeout.toNanos()), TimeUnit.NANOSECONDS));
        } catch (TimeoutException expired) {
            return Optional.empty();
        } catch (ExecutionException cause) {
            throw new IllegalStateException("a slot ticket never completes exceptionally", cause);
        }
    }

    // -- commands

    /** Sets a listener for the decision; it is called at once if there is one, else on the thread that decides. */
    public void onDecision(Consumer<SlotDecision> listener) {
        var _ = decision.thenAccept(listener);
    }

    void markGranted(long nanoseconds) {
        grantedNanoseconds = nanoseconds;
        isSlotHeld.set(true);
    }

    void markOverShare(boolean isOver) {
        isOverShare = isOver;
    }

    void settle(SlotDecision result) {
        decision.complete(result);
    }

    /** Marks the slot as freed; returns whether the ticket held one. */
    boolean tryRelease() {
        return isSlotHeld.getAndSet(false);
    }
}
