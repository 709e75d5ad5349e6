package org.oleanderturn.model;

import java.util.Objects;

/**
 * A service's share of a route's requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service that answers the share
 * @param weight the share, in proportion to the weights of the route's other services
 */
public record WeightedService(ServiceName service, int weight) {

    /** Checks that the service is there; the weight is checked by {@link ConfigurationValidator}. */
    public WeightedService {
        Objects.requireNonNull(service, "service is null");
    }
}
