package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds extra attempts to a share of first attempts.
 *
 * <p>Invariant: withdrawals never exceed the burst plus the share of the first attempts recorded. Thread safe, without
 * locks.
 */
public final class RetryBudget {
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

    /** Returns a full budget of a share, in percent, of first attempts. */
    public static RetryBudget of(int percent) {
        return of(percent, BURST_ATTEMPTS);
    }

    /** Returns a full budget with a stated burst. */
    public static RetryBudget of(int percent, long burstAttempts) {
        if (percent < 0 || burstAttempts < 0) {
            throw new IllegalArgumentException("negative budget: " + percent + "%, " + burstAttempts);
        }
        return new RetryBudget(percent, burstAttempts);
    }

    /** Adds the share of one first attempt. */
    public void recordFirstAttempt() {
        balance.getAndUpdate(held -> Math.min(capacity, held + percent));
    }

    /** Takes one extra attempt out, or returns false and takes nothing. */
    public boolean tryWithdraw() {
        long held = balance.get();
        while (held >= UNITS_PER_ATTEMPT) {
            long witness = balance.compareAndExchange(held, held - UNITS_PER_ATTEMPT);
            if (witness == held) {
                return true;
            }
            held = witness;
        }
        return false;
    }

    /** Returns the extra attempts that could be taken out now. */
    public long available() {
        return balance.get() / UNITS_PER_ATTEMPT;
    }
}
