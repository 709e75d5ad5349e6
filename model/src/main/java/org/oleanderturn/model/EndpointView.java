package org.oleanderturn.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * The endpoints known to a node, grouped by service.
 *
 * <p>Invariant: there is one endpoint per node; each service's list is sorted by node. Immutable and thread safe.
 */
public final class EndpointView {
    private static final EndpointView EMPTY = new EndpointView(Map.of());

    private final Map<ServiceName, List<Endpoint>> endpoints;

    private EndpointView(Map<ServiceName, List<Endpoint>> endpoints) {
        this.endpoints = endpoints;
    }

    /** Returns a view of the given endpoints, which may be in any order. */
    public static EndpointView of(Collection<Endpoint> endpoints) {
        Objects.requireNonNull(endpoints, "endpoints is null");
        Map<ServiceName, List<Endpoint>> grouped = endpoints.stream()
                .sorted(Comparator.comparing(Endpoint::node))
                .collect(Collectors.groupingBy(Endpoint::service, Collectors.toUnmodifiableList()));
        return new EndpointView(Map.copyOf(grouped));
    }

    /** Returns the view without endpoints. */
    public static EndpointView empty() {
        return EMPTY;
    }

    /** Returns the endpoints of a service, sorted by node; empty when the service is unknown. */
    public List<Endpoint> endpoints(ServiceName service) {
        return endpoints.getOrDefault(service, List.of());
    }

    /** Returns all endpoints, sorted by node. */
    public List<Endpoint> all() {
        return endpoints.values().stream()
                .flatMap(List::stream)
                .sorted(Comparator.comparing(Endpoint::node))
                .toList();
    }
}
