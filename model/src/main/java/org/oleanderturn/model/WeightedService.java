package org.oleanderturn.model;

import java.util.Objects;

/**
 * A service's share of a route's requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service that receives the share
 * @param weight the size of the share, relative to the sum of the weights of all services of the route
 */
public record WeightedService(ServiceName service, int weight) {

    /** Throws {@link NullPointerException} if the service is null. {@link ConfigurationValidator} checks the weight. */
    public WeightedService {
        Objects.requireNonNull(service, "service is null");
    }
}
