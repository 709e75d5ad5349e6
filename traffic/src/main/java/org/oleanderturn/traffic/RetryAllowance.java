package org.oleanderturn.traffic;

/**
 * The extra attempts that one request may still cause, here and at all later hops together.
 *
 * <p>Invariant: every retry, every hedge and every grant to a later hop is taken out of what remains, so a chain of any
 * depth causes at most as many extra attempts as its first entry allowed. Immutable and thread safe.
 *
 * @param remaining extra attempts left, zero or more
 */
public record RetryAllowance(int remaining) {
    private static final int GRANT_DIVISOR = 2;

    /** Checks that what remains is not negative. */
    public RetryAllowance {
        if (remaining < 0) {
            throw new IllegalArgumentException("remaining is negative: " + remaining);
        }
    }

    /** Returns an allowance. */
    public static RetryAllowance of(int remaining) {
        return new RetryAllowance(remaining);
    }

    /**
     * Returns the allowance of a request that comes from outside: enough for its policy's limit on attempts at the first
     * entry, and as much again for all later hops together.
     */
    public static RetryAllowance forMaximumAttempts(int maximumAttempts) {
        return new RetryAllowance(Math.max(0, GRANT_DIVISOR * (maximumAttempts - 1)));
    }

    /** Returns whether nothing remains. */
    public boolean isEmpty() {
        return remaining == 0;
    }

    /** Returns what remains after one more attempt. */
    public RetryAllowance spend() {
        return new RetryAllowance(remaining - 1);
    }

    /** Returns how much an attempt takes along to its later hops. */
    public RetryAllowance grant() {
        return new RetryAllowance(remaining / GRANT_DIVISOR);
    }

    /** Returns what is kept here after a grant. */
    public RetryAllowance afterGrant() {
        return new RetryAllowance(remaining - remaining / GRANT_DIVISOR);
    }
}
