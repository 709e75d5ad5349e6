package org.oleanderturn.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.WeightedService;

/**
 * Distributes the requests of a route over its services in proportion to their weights, by smooth weighted round
 * robin.
 *
 * <p>Invariant: after each request, the number sent to each service is within one of its share, counted since the
 * weights last changed. Thread safe.
 */
public final class TrafficSplitter {
    private final ConcurrentHashMap<RouteName, SmoothWeightedRoundRobin> balancers = new ConcurrentHashMap<>();

    private TrafficSplitter() {}

    /** Returns a splitter that has sent no request. */
    public static TrafficSplitter create() {
        return new TrafficSplitter();
    }

    /** Returns the service for the next request of a route. */
    public ServiceName chooseService(Route route) {
        List<WeightedService> services = route.weightedServices();
        if (services.size() == 1) {
            return services.getFirst().service();
        }
        return balancers
                .compute(
                        route.name(),
                        (_, current) -> current == null || !current.services.equals(services)
                                ? new SmoothWeightedRoundRobin(services)
                                : current)
                .next();
    }

    /**
     * The current weights of one route: each request adds the weight of every service, and deducts the total weight
     * from the chosen one.
     */
    private static final class SmoothWeightedRoundRobin {
        private final List<WeightedService> services;
        private final Map<ServiceName, Long> currentWeights = new HashMap<>();
        private final long totalWeight;

        SmoothWeightedRoundRobin(List<WeightedService> services) {
            this.services = services;
            this.totalWeight =
                    services.stream().mapToLong(WeightedService::weight).sum();
        }

        synchronized ServiceName next() {
            WeightedService chosen = services.getFirst();
            for (WeightedService candidate : services) {
                long next = currentWeights.merge(candidate.service(), (long) candidate.weight(), Long::sum);
                if (next > currentWeights.getOrDefault(chosen.service(), 0L)) {
                    chosen = candidate;
                }
            }
            currentWeights.merge(chosen.service(), -totalWeight, Long::sum);
            return chosen.service();
        }
    }
}
