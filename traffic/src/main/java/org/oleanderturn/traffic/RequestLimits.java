package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;

/**
 * What bounds the attempts of one request.
 *
 * @param kind what the request is
 * @param maximumAttempts attempts that the policy allows, hedges counted
 * @param policy decides after each failed attempt
 * @param retries the route's budget for retries
 * @param hedges the route's budget for hedges
 */
public record RequestLimits(
        RequestKind kind, int maximumAttempts, RetryPolicy policy, RetryBudget retries, RetryBudget hedges) {

    /** Checks that every part is there. */
    public RequestLimits {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(policy, "policy is null");
        Objects.requireNonNull(retries, "retries is null");
        Objects.requireNonNull(hedges, "hedges is null");
    }

    /** Returns the limits of a route's requests. */
    public static RequestLimits of(RoutingTable.Entry entry, RetryPolicy policy, RouteBudgets budgets) {
        return new RequestLimits(
                entry.route().kind(),
                entry.trafficPolicy().maximumAttempts(),
                policy,
                budgets.retries(entry),
                budgets.hedges(entry));
    }
}
