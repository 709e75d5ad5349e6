package org.oleanderturn.model;

import java.util.Objects;

/**
 * The declaration of a service.
 *
 * @param name the service's name
 * @param slots requests that one upstream runs at once
 * @param connections connections that one upstream accepts
 */
public record Service(ServiceName name, int slots, int connections) {

    /** Checks that the name is there; limits are checked by {@link ConfigurationValidator}. */
    public Service {
        Objects.requireNonNull(name, "name is null");
    }

    /** Returns the declaration of a service. */
    public static Service of(String name, int slots, int connections) {
        return new Service(ServiceName.of(name), slots, connections);
    }
}
