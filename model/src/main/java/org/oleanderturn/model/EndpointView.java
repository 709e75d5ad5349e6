package org.oleanderturn.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * The endpoints that a node knows, by service.
 *
 * <p>Invariant: one endpoint a node; each service's list is sorted by node. Immutable and thread safe.
 */
public final class EndpointView {
    private static final EndpointView EMPTY = new EndpointView(Map.of());

    private final Map<ServiceName, List<Endpoint>> endpoints;

    private EndpointView(Map<ServiceName, List<Endpoint>> endpoints) {
        this.endpoints = endpoints;
    }

    /** Returns the view of the given endpoints. */
    public static EndpointView of(Collection<Endpoint> endpoints) {
        Objects.requireNonNull(endpoints, "endpoints is null");
        Map<ServiceName, List<Endpoint>> grouped = endpoints.stream()
                .sorted(Comparator.comparing(Endpoint::node))
                .collect(Collectors.groupingBy(Endpoint::service, Collectors.toUnmodifiableList()));
        return new EndpointView(Map.copyOf(grouped));
    }

    /** Returns the view that holds no endpoint. */
    public static EndpointView empty() {
        return EMPTY;
    }

    /** Returns the endpoints of a service; none when it is not known. */
    public List<Endpoint> endpoints(ServiceName service) {
        return endpoints.getOrDefault(service, List.of());
    }

    /** Returns every endpoint, sorted by node. */
    public List<Endpoint> all() {
        return endpoints.values().stream()
                .flatMap(List::stream)
                .sorted(Comparator.comparing(Endpoint::node))
                .toList();
    }
}
