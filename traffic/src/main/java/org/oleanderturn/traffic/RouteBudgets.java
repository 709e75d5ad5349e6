package org.oleanderturn.traffic;

import java.util.concurrent.ConcurrentHashMap;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.TrafficPolicy;

/**
 * The retry and the hedge budget of each route.
 *
 * <p>Invariant: one pair of budgets for a route, replaced when its policy's shares change. Thread safe, without locks
 * once a route is known.
 */
public final class RouteBudgets {
    private final ConcurrentHashMap<RouteName, Pair> pairs = new ConcurrentHashMap<>();

    private RouteBudgets() {}

    /** Returns budgets with no route known. */
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

    /** Adds the shares of one first attempt to both budgets. */
    public void recordFirstAttempt(RoutingTable.Entry entry) {
        Pair pair = pair(entry);
        pair.retryBudget().recordFirstAttempt();
        pair.hedgeBudget().recordFirstAttempt();
    }

    private Pair pair(RoutingTable.Entry entry) {
        RouteName route = entry.route().name();
        TrafficPolicy policy = entry.trafficPolicy();
        Pair held = pairs.get(route);
        if (held != null && held.isFor(policy)) {
            return held;
        }
        return pairs.compute(
                route, (name, former) -> former != null && former.isFor(policy) ? former : Pair.of(policy));
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
