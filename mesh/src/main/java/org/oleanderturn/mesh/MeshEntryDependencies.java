package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.CoreAdmission;
import org.oleanderturn.traffic.ExchangeSizes;
import org.oleanderturn.traffic.LeastLatencyBalancer;
import org.oleanderturn.traffic.OfferThrottles;
import org.oleanderturn.traffic.TargetLoadTracker;
import org.oleanderturn.traffic.WindowedRetryBudget;

/**
 * The collaborators of a {@link MeshEntry}.
 *
 * <p>Immutable; every component is thread safe.
 *
 * @param callerService the service on this host
 * @param endpoints returns the endpoints known now
 * @param balancer chooses among the endpoints of a service
 * @param loads tracks the load of the endpoints
 * @param conditions what the targets ask of the nodes
 * @param exchangeSizes tracks the sizes of requests and responses by route
 * @param throttles decide which requests are offered to targets that refuse most
 * @param retryBudgets returns the retry budget of a service
 * @param guardClient sends requests to guards
 * @param crashMonitor knows the requests under which targets have ended
 * @param admission decides which requests the node's own core has time for
 * @param limiter keeps the limits of organisations
 * @param scheduler cancels attempts at their deadline
 * @param clockNanoseconds a clock that never goes back
 * @param random draws the jitter of retry times
 */
public record MeshEntryDependencies(
        ServiceName callerService,
        Supplier<EndpointView> endpoints,
        LeastLatencyBalancer balancer,
        TargetLoadTracker loads,
        TargetConditions conditions,
        ExchangeSizes exchangeSizes,
        OfferThrottles throttles,
        Function<ServiceName, WindowedRetryBudget> retryBudgets,
        GuardClient guardClient,
        CrashMonitor crashMonitor,
        CoreAdmission admission,
        RequestLimiter limiter,
        ScheduledExecutorService scheduler,
        DecisionLog decisionLog,
        LongSupplier clockNanoseconds,
        RandomGenerator random) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public MeshEntryDependencies {
        Objects.requireNonNull(callerService, "callerService is null");
        Objects.requireNonNull(endpoints, "endpoints is null");
        Objects.requireNonNull(balancer, "balancer is null");
        Objects.requireNonNull(loads, "loads is null");
        Objects.requireNonNull(conditions, "conditions is null");
        Objects.requireNonNull(exchangeSizes, "exchangeSizes is null");
        Objects.requireNonNull(throttles, "throttles is null");
        Objects.requireNonNull(retryBudgets, "retryBudgets is null");
        Objects.requireNonNull(guardClient, "guardClient is null");
        Objects.requireNonNull(crashMonitor, "crashMonitor is null");
        Objects.requireNonNull(admission, "admission is null");
        Objects.requireNonNull(limiter, "limiter is null");
        Objects.requireNonNull(scheduler, "scheduler is null");
        Objects.requireNonNull(decisionLog, "decisionLog is null");
        Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        Objects.requireNonNull(random, "random is null");
    }
}
