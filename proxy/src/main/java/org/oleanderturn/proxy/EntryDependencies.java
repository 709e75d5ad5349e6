package org.oleanderturn.proxy;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.oleanderturn.model.Locality;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.traffic.HedgePolicy;
import org.oleanderturn.traffic.RetryPolicy;
import org.oleanderturn.traffic.RouteBudgets;
import org.oleanderturn.traffic.TwoChoicesBalancer;
import org.oleanderturn.traffic.UpstreamStatistics;

/**
 * What an entry decides with; shared by all its requests.
 *
 * <p>Each part is thread safe.
 *
 * @param locality where the entry stands
 * @param balancer chooses endpoints
 * @param statistics what the entry has seen of them
 * @param retryPolicy decides after failed attempts
 * @param routeBudgets bounds retries and hedges
 * @param hedgePolicy decides when a lookup is hedged
 * @param quarantine knows requests that crash targets
 * @param client reaches other nodes
 * @param executor runs attempts
 * @param clock the clock
 */
public record EntryDependencies(
        Locality locality,
        TwoChoicesBalancer balancer,
        UpstreamStatistics statistics,
        RetryPolicy retryPolicy,
        RouteBudgets routeBudgets,
        HedgePolicy hedgePolicy,
        CrashQuarantine quarantine,
        UpstreamClient client,
        Executor executor,
        LongSupplier clock) {

    /** Checks that every part is there. */
    public EntryDependencies {
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(balancer, "balancer is null");
        Objects.requireNonNull(statistics, "statistics is null");
        Objects.requireNonNull(retryPolicy, "retries is null");
        Objects.requireNonNull(routeBudgets, "budgets is null");
        Objects.requireNonNull(hedgePolicy, "hedges is null");
        Objects.requireNonNull(quarantine, "quarantine is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(executor, "executor is null");
        Objects.requireNonNull(clock, "nanoseconds is null");
    }
}
