package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.model.RequestLimit;

/**
 * By how much the requests of an organisation that run in a window may exceed its limit, and what follows for the tokens.
 *
 * <p>All nodes together keep at most {@link #stock} tokens, issued ones included, and generate them at the limit's rate. At
 * most rate x window + stock requests are therefore granted in a window, which leaves a part of the tolerance for nodes that
 * know of different numbers of members. Immutable and thread safe.
 *
 * @param window the length of the window
 * @param overage the share by which the limit may be exceeded in a window
 * @param slack the requests by which the limit may be exceeded in addition
 */
public record RequestLimitTerms(Duration window, double overage, double slack) {
    /** Part of the overage of the rate that is kept as tokens; the rest covers differing numbers of members. */
    private static final double USED_OVERAGE = 0.4;

    /** Part of the slack that is kept as tokens, so that organisations of a few requests per second have whole ones. */
    private static final double USED_SLACK = 0.8;

    /** A batch covers the steady demand of an entry for so long; a longer one leaves more tokens unused. */
    private static final double LONGEST_BATCH_SECONDS = 1;

    /** A request waits for its token for less than this; a longer validity would hold the holder's stock for nothing. */
    private static final long SINGLE_NANOSECONDS = 200_000_000L;

    /** Part of the stock that may be issued and unused when the limit is used up, so that the stock never stops the rate. */
    private static final double ISSUED_STOCK = 0.8;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Throws a {@link NullPointerException} when the window is null. */
    public RequestLimitTerms {
        Objects.requireNonNull(window, "window is null");
    }

    /** Returns the tokens that all nodes together may keep, issued ones included. */
    double stock(RequestLimit limit) {
        double windowSeconds = window.toNanos() / NANOSECONDS_PER_SECOND;
        return limit.burst() + USED_OVERAGE * overage * limit.requestsPerSecond() * windowSeconds + USED_SLACK * slack;
    }

    /**
     * Returns how long an issued token is valid.
     *
     * @param isSingle whether it is the only one, for a request that waits for it
     */
    long validNanoseconds(RequestLimit limit, boolean isSingle) {
        return isSingle ? Math.min(SINGLE_NANOSECONDS, batchNanoseconds(limit)) : batchNanoseconds(limit);
    }

    /** Returns how long the tokens of a batch are valid. */
    long batchNanoseconds(RequestLimit limit) {
        double seconds = Math.min(LONGEST_BATCH_SECONDS, ISSUED_STOCK * stock(limit) / limit.requestsPerSecond());
        return (long) (seconds * NANOSECONDS_PER_SECOND);
    }

    /** Returns the requests that may run in a window. */
    public double bound(RequestLimit limit) {
        double windowSeconds = window.toNanos() / NANOSECONDS_PER_SECOND;
        return (limit.requestsPerSecond() * windowSeconds + limit.burst()) * (1 + overage) + slack;
    }
}
