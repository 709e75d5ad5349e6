package org.oleanderturn.model;

import java.util.Objects;

/**
 * The declaration of a service, which one or more upstreams run.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the service's name
 * @param slots the number of requests that one upstream runs concurrently
 * @param connections the number of connections that one upstream accepts
 */
public record Service(ServiceName name, int slots, int connections) {

    /** Throws {@link NullPointerException} if the name is null. {@link ConfigurationValidator} checks the limits. */
    public Service {
        Objects.requireNonNull(name, "name is null");
    }

    /** Returns the declaration of a service; a malformed name is an {@link IllegalArgumentException}. */
    public static Service of(String name, int slots, int connections) {
        return new Service(ServiceName.of(name), slots, connections);
    }
}
