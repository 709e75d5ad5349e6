package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;

/**
 * Limits on the attempts of one request. Immutable; the budgets are shared and thread safe.
 *
 * @param kind the kind of request
 * @param maximumAttempts attempts that the traffic policy allows, hedges included
 * @param retryPolicy decides whether a failed attempt is retried
 * @param retryBudget the route's budget for retries
 * @param hedgeBudget the route's budget for hedges
 */
public record AttemptLimits(
        RequestKind kind,
        int maximumAttempts,
        RetryPolicy retryPolicy,
        RetryBudget retryBudget,
        RetryBudget hedgeBudget) {

    /** Throws {@link NullPointerException} if a component is null. */
    public AttemptLimits {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(retryPolicy, "retryPolicy is null");
        Objects.requireNonNull(retryBudget, "retryBudget is null");
        Objects.requireNonNull(hedgeBudget, "hedgeBudget is null");
    }

    /** Returns the limits for a request on the route of a routing table entry. */
    public static AttemptLimits of(RoutingTable.Entry entry, RetryPolicy retryPolicy, RouteBudgets budgets) {
        return new AttemptLimits(
                entry.route().kind(),
                entry.trafficPolicy().maximumAttempts(),
                retryPolicy,
                budgets.retryBudget(entry),
                budgets.hedgeBudget(entry));
    }
}
