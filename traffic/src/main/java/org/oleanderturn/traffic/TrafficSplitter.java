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
 * Shares the requests of a route among its services in proportion to their weights.
 *
 * <p>Invariant: after each request every part is within one request of its share, counted since the weights last
 * changed. Thread safe.
 */
public final class TrafficSplitter {
    private final ConcurrentHashMap<RouteName, SmoothWeightedRoundRobin> balancers = new ConcurrentHashMap<>();

    private TrafficSplitter() {}

    /** Returns a choice that has seen no request. */
    public static TrafficSplitter create() {
        return new TrafficSplitter();
    }

    /** Returns the service for the next request of a route. */
    public ServiceName chooseService(Route route) {
        List<WeightedService> parts = route.weightedServices();
        if (parts.size() == 1) {
            return parts.getFirst().service();
        }
        return balancers
                .compute(
                        route.name(),
                        (_, known) -> known == null || !known.parts.equals(parts)
                                ? new SmoothWeightedRoundRobin(parts)
                                : known)
                .next();
    }

    /** The credit of each part: its weight is added for each request, and the sum of weights taken when it is chosen. */
    private static final class SmoothWeightedRoundRobin {
        private final List<WeightedService> parts;
        private final Map<ServiceName, Long> currentWeights = new HashMap<>();
        private final long totalWeight;

        SmoothWeightedRoundRobin(List<WeightedService> parts) {
            this.parts = parts;
            this.totalWeight = parts.stream().mapToLong(WeightedService::weight).sum();
        }

        synchronized ServiceName next() {
            WeightedService chosen = parts.getFirst();
            for (WeightedService part : parts) {
                long next = currentWeights.merge(part.service(), (long) part.weight(), Long::sum);
                if (next > currentWeights.getOrDefault(chosen.service(), 0L)) {
                    chosen = part;
                }
            }
            currentWeights.merge(chosen.service(), -totalWeight, Long::sum);
            return chosen.service();
        }
    }
}
