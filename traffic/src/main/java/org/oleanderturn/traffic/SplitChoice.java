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
public final class SplitChoice {
    private final ConcurrentHashMap<RouteName, Shares> shares = new ConcurrentHashMap<>();

    private SplitChoice() {}

    /** Returns a choice that has seen no request. */
    public static SplitChoice create() {
        return new SplitChoice();
    }

    /** Returns the service for the next request of a route. */
    public ServiceName next(Route route) {
        List<WeightedService> parts = route.weightedServices();
        if (parts.size() == 1) {
            return parts.getFirst().service();
        }
        return shares.compute(
                        route.name(),
                        (_, known) -> known == null || !known.parts.equals(parts) ? new Shares(parts) : known)
                .next();
    }

    /** The credit of each part: its weight is added for each request, and the sum of weights taken when it is chosen. */
    private static final class Shares {
        private final List<WeightedService> parts;
        private final Map<ServiceName, Long> credit = new HashMap<>();
        private final long sum;

        Shares(List<WeightedService> parts) {
            this.parts = parts;
            this.sum = parts.stream().mapToLong(WeightedService::weight).sum();
        }

        synchronized ServiceName next() {
            WeightedService chosen = parts.getFirst();
            for (WeightedService part : parts) {
                long next = credit.merge(part.service(), (long) part.weight(), Long::sum);
                if (next > credit.getOrDefault(chosen.service(), 0L)) {
                    chosen = part;
                }
            }
            credit.merge(chosen.service(), -sum, Long::sum);
            return chosen.service();
        }
    }
}
