package org.oleanderturn.traffic;

/**
 * Number of extra attempts that one request may still cause, here and at all later hops together.
 *
 * <p>Invariant: each retry, each hedge and each grant to a later hop is deducted, so a call chain of any depth causes
 * at most as many extra attempts as the first entry allowed. Immutable and thread safe.
 *
 * @param remaining extra attempts left, zero or more
 */
public record RetryAllowance(int remaining) {
    private static final int GRANT_DIVISOR = 2;

    /** Throws {@link IllegalArgumentException} if the number is negative. */
    public RetryAllowance {
        if (remaining < 0) {
            throw new IllegalArgumentException("remaining is negative: " + remaining);
        }
    }

    /** Returns an allowance of the given number of extra attempts. */
    public static RetryAllowance of(int remaining) {
        return new RetryAllowance(remaining);
    }

    /**
     * Returns the allowance of a request that enters the mesh: enough for the maximum attempts at the first entry,
     * and as much again for all later hops together.
     */
    public static RetryAllowance forMaximumAttempts(int maximumAttempts) {
        return new RetryAllowance(Math.max(0, GRANT_DIVISOR * (maximumAttempts - 1)));
    }

    /** Returns whether no extra attempt is left. */
    public boolean isEmpty() {
        return remaining == 0;
    }

    /**
     * Returns the allowance after one extra attempt; throws {@link IllegalArgumentException} if this one is empty.
     */
    public RetryAllowance spend() {
        return new RetryAllowance(remaining - 1);
    }

    /** Returns the allowance to send with an attempt to the next hop: half of this one, rounded down. */
    public RetryAllowance grant() {
        return new RetryAllowance(remaining / GRANT_DIVISOR);
    }

    /** Returns the allowance that remains here after a {@link #grant}. */
    public RetryAllowance afterGrant() {
        return new RetryAllowance(remaining - remaining / GRANT_DIVISOR);
    }
}
