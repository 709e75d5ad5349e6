package org.oleanderturn.model;

import java.util.Objects;

/**
 * The declaration of a traffic policy.
 *
 * @param name the policy's name
 * @param timeoutMilliseconds the longest a request may take when its caller sets no deadline
 * @param maximumAttempts attempts for one request, the first one counted
 * @param retryBudgetPercent retries allowed, as a share of first attempts
 * @param hedgePercentile the latency percentile after which an idempotent request is hedged; 0 is never
 * @param hedgeBudgetPercent hedges allowed, as a share of first attempts
 * @param queueLimit requests that may wait at one upstream
 * @param reservedShortPercent share of an upstream's slots that downloads may not take
 */
public record TrafficPolicy(
        TrafficPolicyName name,
        int timeoutMilliseconds,
        int maximumAttempts,
        int retryBudgetPercent,
        int hedgePercentile,
        int hedgeBudgetPercent,
        int queueLimit,
        int reservedShortPercent) {

    /** Checks that the name is there; limits are checked by {@link ConfigurationValidator}. */
    public TrafficPolicy {
        Objects.requireNonNull(name, "name is null");
    }
}
