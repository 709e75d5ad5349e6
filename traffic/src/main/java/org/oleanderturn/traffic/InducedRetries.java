package org.oleanderturn.traffic;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Charges the calls of retried runs to the retry budgets of the services that the local target calls.
 *
 * <p>The load is one where targets shed part of their requests: more of the runs are then retries than of the requests, and
 * each call of such a run counts as a retry at the service that is called, although it is sent for the first time. Nobody
 * knows which calls these are, so that each retried run is charged the calls of an average run before it begins.
 *
 * <p>Invariant: a retried run is charged before its first call, and begins only if the charge fits into the budgets. Thread
 * safe.
 */
public final class InducedRetries {
    /** Bounds the charge while few runs are known; a run makes fewer calls. */
    private static final double MOST_CALLS_OF_A_RUN = 10;

    private final Supplier<? extends Collection<WindowedRetryBudget>> calledBudgets;
    private final long windowNanoseconds;
    private final LongSupplier nanoseconds;
    private final Deque<Long> runs = new ArrayDeque<>();

    private InducedRetries(
            Supplier<? extends Collection<WindowedRetryBudget>> calledBudgets,
            long windowNanoseconds,
            LongSupplier nanoseconds) {
        this.calledBudgets = calledBudgets;
        this.windowNanoseconds = windowNanoseconds;
        this.nanoseconds = nanoseconds;
    }

    /**
     * Returns an account without runs.
     *
     * @param calledBudgets returns this node's budgets of the services that the local target may call
     * @param windowNanoseconds length of the window of the budgets
     * @param nanoseconds the clock
     */
    public static InducedRetries of(
            Supplier<? extends Collection<WindowedRetryBudget>> calledBudgets,
            long windowNanoseconds,
            LongSupplier nanoseconds) {
        Objects.requireNonNull(calledBudgets, "calledBudgets is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new InducedRetries(calledBudgets, windowNanoseconds, nanoseconds);
    }

    /** Returns an account of a target that calls no service. */
    public static InducedRetries none() {
        return new InducedRetries(List::of, 0, () -> 0);
    }

    // -- queries

    /** Returns whether the budgets have room for the calls of a further retried run. */
    public synchronized boolean hasRoom() {
        expire(nanoseconds.getAsLong());
        for (WindowedRetryBudget budget : calledBudgets.get()) {
            if (!budget.hasRoomForInduced(callsOfARun(budget))) {
                return false;
            }
        }
        return true;
    }

    /** Returns how many requests this node sent to a service for each run; clients' requests are counted with the calls. */
    private double callsOfARun(WindowedRetryBudget budget) {
        return Math.min(MOST_CALLS_OF_A_RUN, budget.requests() / (double) Math.max(1, runs.size()));
    }

    // -- commands

    /**
     * Records that a run begins, and charges its calls if it is a retry. Room that was seen before the wait for a slot may have
     * been used by other runs since.
     *
     * @return whether the run may begin; otherwise nothing is recorded
     */
    public synchronized boolean tryRecordRun(boolean isRetry) {
        if (isRetry && !hasRoom()) {
            return false;
        }
        long now = nanoseconds.getAsLong();
        expire(now);
        if (isRetry) {
            for (WindowedRetryBudget budget : calledBudgets.get()) {
                budget.recordInduced(callsOfARun(budget));
            }
        }
        runs.addLast(now);
        return true;
    }

    /** Forgets the runs before the window, as the budgets forget their requests. */
    private void expire(long now) {
        while (!runs.isEmpty() && runs.peekFirst() - (now - windowNanoseconds) < 0) {
            runs.removeFirst();
        }
    }
}
