package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;

/**
 * What bounds the attempts of one request.
 *
 * @param kind what the request is
 * @param maximumAttempts attempts that the policy allows, hedges counted
 * @param retryPolicy decides after each failed attempt
 * @param retryBudget the route's budget for retries
 * @param hedgeBudget the route's budget for hedges
 */
public record AttemptLimits(
        RequestKind kind,
        int maximumAttempts,
        RetryPolicy retryPolicy,
        RetryBudget retryBudget,
        RetryBudget hedgeBudget) {

    /** Checks that every part is there. */
    public AttemptLimits {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(retryPolicy, "policy is null");
        Objects.requireNonNull(retryBudget, "retries is null");
        Objects.requireNonNull(hedgeBudget, "hedges is null");
    }

    /** Returns the limits of a route's requests. */
    public static AttemptLimits of(RoutingTable.Entry entry, RetryPolicy policy, RouteBudgets budgets) {
        return new AttemptLimits(
                entry.route().kind(),
                entry.trafficPolicy().maximumAttempts(),
                policy,
                budgets.retryBudget(entry),
                budgets.hedgeBudget(entry));
    }
}
