package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.ExchangeSizes;
import org.oleanderturn.traffic.LeastLatencyBalancer;
import org.oleanderturn.traffic.TargetLoadTracker;
import org.oleanderturn.traffic.WindowedRetryBudget;

/**
 * What an entry decides and sends with.
 *
 * <p>Immutable; every part is thread safe.
 *
 * @param callerService the service on this host
 * @param endpoints gives the endpoints known now
 * @param placement chooses among them
 * @param loads what is known of their load
 * @param exchangeSizes what requests and answers take
 * @param retryBudgets gives the budget for sending a service's requests again
 * @param guardClient hands requests to guards
 * @param scheduler ends attempts at their deadline
 */
public record MeshEntryDependencies(
        ServiceName callerService,
        Supplier<EndpointView> endpoints,
        LeastLatencyBalancer placement,
        TargetLoadTracker loads,
        ExchangeSizes exchangeSizes,
        Function<ServiceName, WindowedRetryBudget> retryBudgets,
        GuardClient guardClient,
        ScheduledExecutorService scheduler,
        DecisionLog decisionLog,
        LongSupplier clockNanoseconds,
        RandomGenerator random) {

    /** Checks that every part is there. */
    public MeshEntryDependencies {
        Objects.requireNonNull(callerService, "caller is null");
        Objects.requireNonNull(endpoints, "endpoints is null");
        Objects.requireNonNull(placement, "placement is null");
        Objects.requireNonNull(loads, "board is null");
        Objects.requireNonNull(exchangeSizes, "sizes is null");
        Objects.requireNonNull(retryBudgets, "repeats is null");
        Objects.requireNonNull(guardClient, "guards is null");
        Objects.requireNonNull(scheduler, "timers is null");
        Objects.requireNonNull(decisionLog, "decisions is null");
        Objects.requireNonNull(clockNanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
    }
}
