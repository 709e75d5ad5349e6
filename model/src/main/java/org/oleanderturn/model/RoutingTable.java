package org.oleanderturn.model;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The routes of one snapshot joined with one view of the endpoints.
 *
 * <p>Invariant: each entry holds the service, the traffic policy and the endpoints that its route names, taken from one
 * snapshot and one view, so no route is ever seen without them. Immutable and thread safe; a node swaps the whole.
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

    /** Joins a valid snapshot with a view; a route of a virtual host, or whose parts are not declared, is left out. */
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

    /** Returns a service's endpoints, each with the slots that the service declares. */
    private static List<Endpoint> endpoints(EndpointView view, Service service) {
        return view.endpoints(service.name()).stream()
                .map(endpoint -> endpoint.withSlots(service.slots()))
                .toList();
    }

    /** Returns the table that holds no route. */
    public static RoutingTable empty() {
        return EMPTY;
    }

    /** Returns the entry with the longest prefix that takes the request. */
    public Optional<Entry> find(String method, String path) {
        for (Entry entry : entries) {
            if (entry.route().matches(method, path)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /** Returns the version of the snapshot. */
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

    /** Returns every entry, longest prefix first. */
    public List<Entry> entries() {
        return entries;
    }

    /** A route with all that it points at. */
    public record Entry(Route route, Service service, TrafficPolicy trafficPolicy, List<Endpoint> endpoints) {

        /** Checks that every part is there. */
        public Entry {
            Objects.requireNonNull(route, "route is null");
            Objects.requireNonNull(service, "service is null");
            Objects.requireNonNull(trafficPolicy, "trafficPolicy is null");
            endpoints = List.copyOf(endpoints);
        }
    }
}
