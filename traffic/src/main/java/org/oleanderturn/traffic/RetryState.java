package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.model.RequestKind;

/**
 * Input of a retry decision: the state of a request whose last outstanding attempt has just ended. Immutable and
 * thread safe.
 *
 * @param kind the kind of request
 * @param attemptsSent attempts sent so far
 * @param maximumAttempts attempts that the traffic policy allows, the first one included
 * @param allowance extra attempts that the request may still cause
 * @param remaining time until the deadline
 * @param mayHaveRun whether an attempt may have run
 * @param crashedTargets targets that crashed while running the request, including in the last attempt
 * @param isSuspect whether the request was suspect from the start
 */
public record RetryState(
        RequestKind kind,
        int attemptsSent,
        int maximumAttempts,
        RetryAllowance allowance,
        Duration remaining,
        boolean mayHaveRun,
        int crashedTargets,
        boolean isSuspect) {

    /** Throws {@link NullPointerException} if a component is null. */
    public RetryState {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(allowance, "allowance is null");
        Objects.requireNonNull(remaining, "remaining is null");
    }
}
