package org.oleanderturn.model;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The declared configuration of the mesh: services, routes, traffic policies and organisations.
 *
 * <p>Invariant: each list is sorted by name, so that the digest does not depend on the order of declaration. References
 * between objects are checked by {@link ConfigurationValidator}, not here. Immutable and thread safe.
 *
 * @param organisations who may send requests; empty when anyone may, in which case the encoding and the digest are those of a
 *     release without organisations
 */
public record Configuration(
        List<Service> services,
        List<Route> routes,
        List<TrafficPolicy> trafficPolicies,
        Optional<List<Organisation>> organisations) {
    private static final Configuration EMPTY = new Configuration(List.of(), List.of(), List.of(), Optional.empty());

    /** Copies the lists sorted by name; throws {@link NullPointerException} if one is null. */
    public Configuration {
        Objects.requireNonNull(services, "services is null");
        Objects.requireNonNull(routes, "routes is null");
        Objects.requireNonNull(trafficPolicies, "trafficPolicies is null");
        Objects.requireNonNull(organisations, "organisations is null");
        services = services.stream().sorted(Comparator.comparing(Service::name)).toList();
        routes = routes.stream().sorted(Comparator.comparing(Route::name)).toList();
        trafficPolicies = trafficPolicies.stream()
                .sorted(Comparator.comparing(TrafficPolicy::name))
                .toList();
        organisations = organisations.map(declared -> declared.stream()
                .sorted(Comparator.comparing(Organisation::name))
                .toList());
    }

    /** Returns the configuration of the given objects, which may be in any order, without organisations. */
    public static Configuration of(List<Service> services, List<Route> routes, List<TrafficPolicy> trafficPolicies) {
        return new Configuration(services, routes, trafficPolicies, Optional.empty());
    }

    /** Returns this configuration with the given organisations, in any order; empty when anyone may send requests. */
    public Configuration withOrganisations(Optional<List<Organisation>> declared) {
        return new Configuration(services, routes, trafficPolicies, declared);
    }

    /** Returns the configuration without any objects. */
    public static Configuration empty() {
        return EMPTY;
    }

    /** Returns the service with the given name; empty when none is declared. */
    public Optional<Service> service(ServiceName name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** Returns the traffic policy with the given name; empty when none is declared. */
    public Optional<TrafficPolicy> trafficPolicy(TrafficPolicyName name) {
        return trafficPolicies.stream()
                .filter(policy -> policy.name().equals(name))
                .findFirst();
    }
}
