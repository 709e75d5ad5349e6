package org.oleanderturn.traffic;

import java.util.Objects;

/**
 * Decides at one entry whether a request goes to the new version of a service's targets.
 *
 * <p>Invariant: in a stage, no more requests go to the new version than the stage's share of the requests that came to this
 * entry, plus its part of half of the slack; so all entries together keep the bound whatever they know of each other. The
 * other half of the slack is for nodes that restart and begin to count anew. No request goes there unless the judge has
 * answered a report of this entry a moment ago. Thread safe.
 */
public final class RolloutExposure {
    /** The rest allows for requests that count at the entry and are refused before they reach a target. */
    private static final double SHARE_PART = 0.9;

    private static final double HALF = 0.5;

    /** Bounds how many requests in a row go to the new version after a time without any target of it. */
    private static final double MOST_CREDIT = 2;

    private final RolloutPace pace;
    private RolloutStage stage = RolloutStage.CANARY;
    private double credit;
    private long validUntilNanoseconds;
    private boolean isValid;

    private RolloutExposure(RolloutPace pace, double credit) {
        this.pace = pace;
        this.credit = credit;
    }

    /** Returns the exposure of an entry that has learned of an order, as one of the given number of nodes. */
    public static RolloutExposure of(RolloutPace pace, int nodes) {
        Objects.requireNonNull(pace, "pace is null");
        return new RolloutExposure(pace, Math.min(1, pace.slack() * HALF / Math.max(1, nodes)));
    }

    /** Returns the stage that this entry acts on. */
    public synchronized RolloutStage stage() {
        return stage;
    }

    /**
     * Takes over the stage that the judge answered.
     *
     * @param sentNanoseconds when the report was sent that the judge has answered
     */
    public synchronized void renew(RolloutStage answered, long sentNanoseconds) {
        enter(answered);
        long until = sentNanoseconds + pace.validity().toNanos();
        validUntilNanoseconds = isValid && validUntilNanoseconds - until > 0 ? validUntilNanoseconds : until;
        isValid = true;
    }

    /** Takes over a stage without a permission to send requests to the new version. */
    public synchronized void enter(RolloutStage answered) {
        if (answered != stage) {
            stage = answered;
            credit = Math.min(credit, 1);
        }
    }

    /** Counts a request of a client, and returns whether it may go to the new version now. */
    public synchronized boolean recordRequest(long nowNanoseconds) {
        if (stage == RolloutStage.COMPLETED) {
            return true;
        }
        credit = Math.min(MOST_CREDIT, credit + share());
        return stage != RolloutStage.ROLLED_BACK
                && isValid
                && validUntilNanoseconds - nowNanoseconds > 0
                && credit >= 1;
    }

    /** Returns whether an attempt after the first goes to the new version: only when that gets all requests. */
    public synchronized boolean isRetryAllowed(long nowNanoseconds) {
        return stage == RolloutStage.ALL && isValid && validUntilNanoseconds - nowNanoseconds > 0;
    }

    /** Counts a request that goes to the new version; to be called only after {@link #recordRequest} allowed it. */
    public synchronized boolean trySend() {
        if (stage == RolloutStage.ALL || stage == RolloutStage.COMPLETED) {
            return true;
        }
        if (stage == RolloutStage.ROLLED_BACK || credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }

    private double share() {
        return switch (stage) {
            case CANARY -> pace.share() * SHARE_PART;
            case HALF -> HALF;
            case ALL, COMPLETED -> 1;
            case ROLLED_BACK -> 0;
        };
    }
}
