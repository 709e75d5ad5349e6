package org.oleanderturn.proxy;

import java.util.Objects;

/**
 * The part of a memory budget that the responses to one request hold, over all its attempts.
 *
 * <p>Invariants: a request holds no more than a quarter of its budget; all is returned when the reservation is closed, and
 * nothing is reserved after that. Thread safe.
 */
public final class BodyReservation implements AutoCloseable {
    private static final int SHARE_DIVISOR = 4;
    private static final BodyMemoryBudget UNLIMITED = BodyMemoryBudget.of(Long.MAX_VALUE / 2);

    private final BodyMemoryBudget budget;
    private long bytes;
    private boolean isClosed;

    private BodyReservation(BodyMemoryBudget budget) {
        this.budget = budget;
    }

    /** Returns a reservation that holds nothing yet. */
    public static BodyReservation of(BodyMemoryBudget budget) {
        Objects.requireNonNull(budget, "budget is null");
        return new BodyReservation(budget);
    }

    /** Returns a reservation that no budget limits, for responses with a small limit of their own. */
    public static BodyReservation unlimited() {
        return new BodyReservation(UNLIMITED);
    }

    /** Reserves memory if the budget and the share of one request allow it. */
    synchronized boolean tryReserve(long count) {
        if (isClosed || bytes + count > budget.limitBytes() / SHARE_DIVISOR || !budget.tryReserve(count)) {
            return false;
        }
        bytes += count;
        return true;
    }

    /** Returns memory that was reserved and is no longer held. */
    synchronized void release(long count) {
        if (!isClosed) {
            bytes -= count;
            budget.release(count);
        }
    }

    @Override
    public synchronized void close() {
        if (!isClosed) {
            budget.release(bytes);
            isClosed = true;
        }
    }
}
