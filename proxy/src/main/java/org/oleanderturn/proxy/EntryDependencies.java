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
 * The collaborators of an entry, shared by all of its requests.
 *
 * <p>Immutable; each component is thread safe.
 *
 * @param locality the region and availability zone of the entry
 * @param balancer chooses the endpoint of each attempt
 * @param statistics in-flight attempts, latencies and failures per endpoint
 * @param retryPolicy decides whether a failed attempt is retried
 * @param routeBudgets limits the share of retries and hedges per route
 * @param hedgePolicy decides after which delay a lookup is hedged
 * @param quarantine tracks requests that crash targets
 * @param client sends requests to other nodes
 * @param executor runs the attempts
 * @param clock monotonic time in nanoseconds
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

    /** Throws {@link NullPointerException} if a component is null. */
    public EntryDependencies {
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(balancer, "balancer is null");
        Objects.requireNonNull(statistics, "statistics is null");
        Objects.requireNonNull(retryPolicy, "retryPolicy is null");
        Objects.requireNonNull(routeBudgets, "routeBudgets is null");
        Objects.requireNonNull(hedgePolicy, "hedgePolicy is null");
        Objects.requireNonNull(quarantine, "quarantine is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(executor, "executor is null");
        Objects.requireNonNull(clock, "clock is null");
    }
}
