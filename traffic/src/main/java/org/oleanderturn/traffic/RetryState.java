package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.model.RequestKind;

/**
 * What the retry decision needs to know of a request whose last attempt out has just ended.
 *
 * @param kind what the request is
 * @param attemptsSent attempts sent so far
 * @param maximumAttempts attempts that the policy allows, the first one counted
 * @param allowance extra attempts that the request may still cause
 * @param remaining time until the deadline
 * @param mayHaveRun whether an earlier attempt may have run
 * @param crashedTargets targets that died while they ran it, the last attempt counted
 * @param isSuspect whether the last attempt was sent as a crash suspect
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

    /** Checks that every part is there. */
    public RetryState {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(allowance, "allowance is null");
        Objects.requireNonNull(remaining, "remaining is null");
    }
}
