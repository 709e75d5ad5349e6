package org.oleanderturn.model;

import java.util.Objects;

/**
 * The declaration of a traffic policy: timeout, retries, hedging and queueing of the requests of a route.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the name by which routes refer to the policy
 * @param timeoutMilliseconds the timeout of a request whose caller sets no deadline
 * @param maximumAttempts the maximum number of attempts for one request, including the first
 * @param retryBudgetPercent the retries allowed, in percent of first attempts
 * @param hedgePercentile the latency percentile after which an idempotent request is hedged; 0 disables hedging
 * @param hedgeBudgetPercent the hedged requests allowed, in percent of first attempts
 * @param queueLimit the number of requests that may be queued at one upstream
 * @param reservedShortPercent the percentage of an upstream's slots that are reserved for requests other than downloads
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

    /** Throws {@link NullPointerException} if the name is null. {@link ConfigurationValidator} checks the limits. */
    public TrafficPolicy {
        Objects.requireNonNull(name, "name is null");
    }
}
