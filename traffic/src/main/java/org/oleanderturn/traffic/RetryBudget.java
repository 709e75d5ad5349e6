package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits extra attempts to a percentage of first attempts, as a token bucket.
 *
 * <p>Invariant: withdrawals never exceed the burst plus the percentage of the first attempts recorded. Thread safe,
 * without locks.
 */
public final class RetryBudget {
    /** A first attempt deposits as many units as the percentage, an extra one withdraws this many. */
    private static final long UNITS_PER_ATTEMPT = 100;

    private static final long BURST_ATTEMPTS = 10;

    private final long percent;
    private final long capacity;
    private final AtomicLong balance;

    private RetryBudget(int percent, long burstAttempts) {
        this.percent = percent;
        this.capacity = burstAttempts * UNITS_PER_ATTEMPT;
        this.balance = new AtomicLong(percent == 0 ? 0 : capacity);
    }

    /** Returns a full budget of a percentage of first attempts, with the default burst of ten attempts. */
    public static RetryBudget of(int percent) {
        return of(percent, BURST_ATTEMPTS);
    }

    /**
     * Returns a full budget.
     *
     * @param percent extra attempts for each hundred first attempts; zero allows none
     * @param burstAttempts capacity of the budget in attempts
     * @throws IllegalArgumentException if a number is negative
     */
    public static RetryBudget of(int percent, long burstAttempts) {
        if (percent < 0 || burstAttempts < 0) {
            throw new IllegalArgumentException("negative retry budget: " + percent + "%, burst " + burstAttempts);
        }
        return new RetryBudget(percent, burstAttempts);
    }

    /** Deposits the share of one first attempt. */
    public void recordFirstAttempt() {
        balance.getAndUpdate(current -> Math.min(capacity, current + percent));
    }

    /** Withdraws one extra attempt; returns false and withdraws nothing if there is none. */
    public boolean tryWithdraw() {
        long current = balance.get();
        while (current >= UNITS_PER_ATTEMPT) {
            long witness = balance.compareAndExchange(current, current - UNITS_PER_ATTEMPT);
            if (witness == current) {
                return true;
            }
            current = witness;
        }
        return false;
    }

    /** Returns how many extra attempts could be withdrawn now. */
    public long available() {
        return balance.get() / UNITS_PER_ATTEMPT;
    }
}
