package org.oleanderturn.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Validates a configuration: names, value ranges and references between objects.
 *
 * <p>Invariant: in a configuration without faults, no route refers to an undeclared service or traffic policy. The
 * static entry point is thread safe; an instance is confined to one call.
 */
public final class ConfigurationValidator {
    private static final int MAXIMUM_SLOTS = 10_000;
    private static final int MAXIMUM_CONNECTIONS = 100_000;
    private static final int MAXIMUM_TIMEOUT_MILLISECONDS = 3_600_000;
    private static final int MAXIMUM_ATTEMPTS = 10;
    private static final int MAXIMUM_PERCENT = 100;
    private static final int MAXIMUM_HEDGE_PERCENTILE = 99;
    private static final int MAXIMUM_QUEUED_REQUESTS = 10_000;
    private static final int MAXIMUM_WEIGHT = 1_000_000;
    private static final int MAXIMUM_PRIORITY = 100;
    private static final int MAXIMUM_REQUESTS = 10_000_000;
    private static final Pattern PATH_PREFIX = Pattern.compile("/[^\\s?#]*");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    private final Configuration configuration;
    private final List<ConfigurationFault> faults = new ArrayList<>();

    private final Set<ServiceName> services;
    private final Set<TrafficPolicyName> policies;

    private ConfigurationValidator(Configuration configuration) {
        this.configuration = configuration;
        this.services = configuration.services().stream().map(Service::name).collect(Collectors.toSet());
        this.policies = configuration.trafficPolicies().stream()
                .map(TrafficPolicy::name)
                .collect(Collectors.toSet());
    }

    /** Returns all faults of a configuration; empty when it is valid. */
    public static List<ConfigurationFault> validate(Configuration configuration) {
        Objects.requireNonNull(configuration, "configuration is null");
        ConfigurationValidator validator = new ConfigurationValidator(configuration);
        validator.checkNames();
        configuration.services().forEach(validator::checkService);
        configuration.trafficPolicies().forEach(validator::checkPolicy);
        configuration.routes().forEach(validator::checkRoute);
        validator.checkOrganisations();
        validator.checkShadowedRoutes();
        return List.copyOf(validator.faults);
    }

    private void checkNames() {
        checkUnique("services/", configuration.services(), Service::name);
        checkUnique("routes/", configuration.routes(), Route::name);
        checkUnique("trafficPolicies/", configuration.trafficPolicies(), TrafficPolicy::name);
    }

    private <T> void checkUnique(String pathPrefix, List<T> objects, Function<T, ?> nameOf) {
        Set<Object> seen = new HashSet<>();
        for (T object : objects) {
            Object name = nameOf.apply(object);
            if (!seen.add(name)) {
                faults.add(new ConfigurationFault.DuplicateName(pathPrefix + name));
            }
        }
    }

    private void checkService(Service service) {
        String path = "services/" + service.name();
        checkRange(path, "slots", service.slots(), 1, MAXIMUM_SLOTS);
        checkRange(path, "connections", service.connections(), 1, MAXIMUM_CONNECTIONS);
    }

    private void checkPolicy(TrafficPolicy policy) {
        String path = "trafficPolicies/" + policy.name();
        checkRange(path, "timeoutMilliseconds", policy.timeoutMilliseconds(), 1, MAXIMUM_TIMEOUT_MILLISECONDS);
        checkRange(path, "maximumAttempts", policy.maximumAttempts(), 1, MAXIMUM_ATTEMPTS);
        checkRange(path, "retryBudgetPercent", policy.retryBudgetPercent(), 0, MAXIMUM_PERCENT);
        checkRange(path, "hedgePercentile", policy.hedgePercentile(), 0, MAXIMUM_HEDGE_PERCENTILE);
        checkRange(path, "hedgeBudgetPercent", policy.hedgeBudgetPercent(), 0, MAXIMUM_PERCENT);
        checkRange(path, "queueLimit", policy.queueLimit(), 0, MAXIMUM_QUEUED_REQUESTS);
        checkRange(path, "reservedShortPercent", policy.reservedShortPercent(), 0, MAXIMUM_PERCENT - 1);
    }

    private void checkOrganisations() {
        List<Organisation> organisations = configuration.organisations().orElse(List.of());
        checkUnique("organisations/", organisations, Organisation::name);
        Map<KeyDigest, OrganisationName> holders = new HashMap<>();
        for (Organisation organisation : organisations) {
            String path = "organisations/" + organisation.name();
            organisation.priority().ifPresent(priority -> checkRange(path, "priority", priority, 0, MAXIMUM_PRIORITY));
            organisation.limit().ifPresent(limit -> checkLimit(path, limit));
            for (KeyDigest key : organisation.keys()) {
                OrganisationName holder = holders.putIfAbsent(key, organisation.name());
                if (holder != null) {
                    faults.add(new ConfigurationFault.SharedKey(path, holder));
                }
            }
        }
    }

    private void checkLimit(String path, RequestLimit limit) {
        checkDecimalRange(path, "limit.requestsPerSecond", limit.requestsPerSecond());
        checkDecimalRange(path, "limit.burst", limit.burst());
    }

    private void checkDecimalRange(String path, String field, double found) {
        if (!(found >= 0 && found <= MAXIMUM_REQUESTS)) {
            faults.add(new ConfigurationFault.OutOfRange(path, field, Math.round(found), 0, MAXIMUM_REQUESTS));
        }
    }

    private void checkRange(String path, String field, long found, long lowest, long highest) {
        if (found < lowest || found > highest) {
            faults.add(new ConfigurationFault.OutOfRange(path, field, found, lowest, highest));
        }
    }

    private void checkRoute(Route route) {
        String path = "routes/" + route.name();
        if (!services.contains(route.service())) {
            faults.add(new ConfigurationFault.UnknownService(path, route.service()));
        }
        if (!policies.contains(route.trafficPolicy())) {
            faults.add(new ConfigurationFault.UnknownTrafficPolicy(path, route.trafficPolicy()));
        }
        if (!PATH_PREFIX.matcher(route.pathPrefix()).matches()) {
            faults.add(new ConfigurationFault.MalformedPrefix(path, route.pathPrefix()));
        }
        route.weightedServices().forEach(weighted -> checkWeightedService(path, route, weighted));
        if (route.host().isEmpty() || !route.methods().isEmpty()) {
            checkMethods(path, route);
        }
    }

    private void checkWeightedService(String path, Route route, WeightedService weighted) {
        checkRange(path, "split.weight", weighted.weight(), 0, MAXIMUM_WEIGHT);
        if (!weighted.service().equals(route.service()) && !services.contains(weighted.service())) {
            faults.add(new ConfigurationFault.UnknownService(path, weighted.service()));
        }
    }

    private void checkMethods(String path, Route route) {
        List<String> methods = route.methods();
        boolean isWellFormed =
                methods.stream().allMatch(method -> METHOD.matcher(method).matches());
        if (methods.isEmpty() || !isWellFormed || Set.copyOf(methods).size() < methods.size()) {
            faults.add(new ConfigurationFault.MalformedMethods(path));
        }
        if (!route.kind().isIdempotent()) {
            return;
        }
        for (String method : methods) {
            if (!SAFE_METHODS.contains(method)) {
                faults.add(new ConfigurationFault.MethodUnfitForKind(path, method, route.kind()));
            }
        }
    }

    private void checkShadowedRoutes() {
        Map<String, RouteName> routeByMatch = new HashMap<>();
        for (Route route : configuration.routes()) {
            List<String> methods = route.methods().isEmpty() ? List.of("*") : route.methods();
            for (String method : methods) {
                String match = method + " " + route.host().orElse("") + route.pathPrefix();
                RouteName other = routeByMatch.putIfAbsent(match, route.name());
                if (other != null && !other.equals(route.name())) {
                    faults.add(new ConfigurationFault.ShadowedRoute("routes/" + route.name(), other));
                }
            }
        }
    }
}
