package org.oleanderturn.traffic;

import java.util.concurrent.ConcurrentHashMap;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.TrafficPolicy;

/**
 * Retry and hedge budgets by route.
 *
 * <p>Invariant: each route has one pair of budgets, replaced when the percentages of its traffic policy change.
 * Thread safe, without locks once a route is known.
 */
public final class RouteBudgets {
    private final ConcurrentHashMap<RouteName, Pair> pairs = new ConcurrentHashMap<>();

    private RouteBudgets() {}

    /** Returns budgets of no route. */
    public static RouteBudgets empty() {
        return new RouteBudgets();
    }

    /** Returns the retry budget of a route. */
    public RetryBudget retryBudget(RoutingTable.Entry entry) {
        return pair(entry).retryBudget();
    }

    /** Returns the hedge budget of a route. */
    public RetryBudget hedgeBudget(RoutingTable.Entry entry) {
        return pair(entry).hedgeBudget();
    }

    /** Deposits the shares of one first attempt in both budgets. */
    public void recordFirstAttempt(RoutingTable.Entry entry) {
        Pair pair = pair(entry);
        pair.retryBudget().recordFirstAttempt();
        pair.hedgeBudget().recordFirstAttempt();
    }

    private Pair pair(RoutingTable.Entry entry) {
        RouteName route = entry.route().name();
        TrafficPolicy policy = entry.trafficPolicy();
        Pair known = pairs.get(route);
        if (known != null && known.isFor(policy)) {
            return known;
        }
        return pairs.compute(
                route, (name, previous) -> previous != null && previous.isFor(policy) ? previous : Pair.of(policy));
    }

    private record Pair(int retryPercent, int hedgePercent, RetryBudget retryBudget, RetryBudget hedgeBudget) {

        static Pair of(TrafficPolicy policy) {
            return new Pair(
                    policy.retryBudgetPercent(),
                    policy.hedgeBudgetPercent(),
                    RetryBudget.of(policy.retryBudgetPercent()),
                    RetryBudget.of(policy.hedgeBudgetPercent()));
        }

        boolean isFor(TrafficPolicy policy) {
            return retryPercent == policy.retryBudgetPercent() && hedgePercent == policy.hedgeBudgetPercent();
        }
    }
}
