package org.oleanderturn.model;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The routes of a configuration snapshot, resolved against a view of the endpoints.
 *
 * <p>Invariant: the service, the traffic policy and the endpoints of each entry come from the same snapshot and view,
 * so a route never refers to something that is missing. Immutable and thread safe; a node replaces the table as a
 * whole.
 */
public final class RoutingTable {
    private static final RoutingTable EMPTY =
            new RoutingTable(ConfigurationSnapshot.empty(), EndpointView.empty(), List.of());

    private final ConfigurationSnapshot snapshot;
    private final EndpointView view;
    private final List<Entry> entries;

    private RoutingTable(ConfigurationSnapshot snapshot, EndpointView view, List<Entry> entries) {
        this.snapshot = snapshot;
        this.view = view;
        this.entries = entries;
    }

    /**
     * Resolves the routes of a valid snapshot. Routes of a virtual host are left out, and so are routes whose service
     * or traffic policy is not declared.
     */
    public static RoutingTable of(ConfigurationSnapshot snapshot, EndpointView view) {
        Objects.requireNonNull(snapshot, "snapshot is null");
        Objects.requireNonNull(view, "view is null");
        Map<ServiceName, Service> services = new HashMap<>();
        snapshot.configuration().services().forEach(service -> services.put(service.name(), service));
        Map<TrafficPolicyName, TrafficPolicy> policies = new HashMap<>();
        snapshot.configuration().trafficPolicies().forEach(policy -> policies.put(policy.name(), policy));
        List<Entry> entries = snapshot.configuration().routes().stream()
                .filter(route -> route.host().isEmpty())
                .filter(route -> services.containsKey(route.service()) && policies.containsKey(route.trafficPolicy()))
                .map(route -> new Entry(
                        route,
                        services.get(route.service()),
                        policies.get(route.trafficPolicy()),
                        endpoints(view, services.get(route.service()))))
                .sorted(Comparator.comparingInt(
                        entry -> -entry.route().pathPrefix().length()))
                .toList();
        return new RoutingTable(snapshot, view, entries);
    }

    /** Returns the endpoints of a service, each with the number of slots that the service declares. */
    private static List<Endpoint> endpoints(EndpointView view, Service service) {
        return view.endpoints(service.name()).stream()
                .map(endpoint -> endpoint.withSlots(service.slots()))
                .toList();
    }

    /** Returns the table without routes. */
    public static RoutingTable empty() {
        return EMPTY;
    }

    /** Returns the matching entry with the longest prefix; empty when no route matches. */
    public Optional<Entry> find(String method, String path) {
        for (Entry entry : entries) {
            if (entry.route().matches(method, path)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /** Returns the version of the snapshot that the routes come from. */
    public ConfigurationVersion version() {
        return snapshot.version();
    }

    /** Returns the snapshot that the routes come from. */
    public ConfigurationSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the view that the endpoints come from. */
    public EndpointView view() {
        return view;
    }

    /** Returns all entries, longest prefix first. */
    public List<Entry> entries() {
        return entries;
    }

    /** A route with the service, the traffic policy and the endpoints that it refers to. */
    public record Entry(Route route, Service service, TrafficPolicy trafficPolicy, List<Endpoint> endpoints) {

        /** Copies the endpoints; throws {@link NullPointerException} if a component is null. */
        public Entry {
            Objects.requireNonNull(route, "route is null");
            Objects.requireNonNull(service, "service is null");
            Objects.requireNonNull(trafficPolicy, "trafficPolicy is null");
            endpoints = List.copyOf(endpoints);
        }
    }
}
