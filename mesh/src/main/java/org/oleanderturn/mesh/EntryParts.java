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
 * @param caller the service on this host
 * @param endpoints gives the endpoints known now
 * @param placement chooses among them
 * @param board what is known of their load
 * @param sizes what requests and answers take
 * @param repeats gives the budget for sending a service's requests again
 * @param guards hands requests to guards
 * @param timers ends attempts at their deadline
 */
public record EntryParts(
        ServiceName caller,
        Supplier<EndpointView> endpoints,
        LeastLatencyBalancer placement,
        TargetLoadTracker board,
        ExchangeSizes sizes,
        Function<ServiceName, WindowedRetryBudget> repeats,
        GuardCalls guards,
        ScheduledExecutorService timers,
        DecisionLog decisions,
        LongSupplier nanoseconds,
        RandomGenerator random) {

    /** Checks that every part is there. */
    public EntryParts {
        Objects.requireNonNull(caller, "caller is null");
        Objects.requireNonNull(endpoints, "endpoints is null");
        Objects.requireNonNull(placement, "placement is null");
        Objects.requireNonNull(board, "board is null");
        Objects.requireNonNull(sizes, "sizes is null");
        Objects.requireNonNull(repeats, "repeats is null");
        Objects.requireNonNull(guards, "guards is null");
        Objects.requireNonNull(timers, "timers is null");
        Objects.requireNonNull(decisions, "decisions is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
    }
}
