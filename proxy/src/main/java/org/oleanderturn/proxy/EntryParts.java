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
 * @param retries decides after failed attempts
 * @param budgets bounds retries and hedges
 * @param hedges decides when a lookup is hedged
 * @param quarantine knows requests that crash targets
 * @param client reaches other nodes
 * @param executor runs attempts
 * @param nanoseconds the clock
 */
public record EntryParts(
        Locality locality,
        TwoChoicesBalancer balancer,
        UpstreamStatistics statistics,
        RetryPolicy retries,
        RouteBudgets budgets,
        HedgePolicy hedges,
        CrashQuarantine quarantine,
        UpstreamClient client,
        Executor executor,
        LongSupplier nanoseconds) {

    /** Checks that every part is there. */
    public EntryParts {
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(balancer, "balancer is null");
        Objects.requireNonNull(statistics, "statistics is null");
        Objects.requireNonNull(retries, "retries is null");
        Objects.requireNonNull(budgets, "budgets is null");
        Objects.requireNonNull(hedges, "hedges is null");
        Objects.requireNonNull(quarantine, "quarantine is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(executor, "executor is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
    }
}
