package org.oleanderturn.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The declaration of a route: requests whose path starts with a prefix and whose method is listed go to a service.
 *
 * <p>A route of a virtual host takes only requests for that host, with any method when none is listed.
 *
 * @param name the route's name
 * @param pathPrefix starts with a slash; the longest matching prefix wins
 * @param methods HTTP methods in upper case
 * @param service the service that answers
 * @param kind what the requests are
 * @param trafficPolicy the policy that governs them
 * @param host the virtual host that the route belongs to; none for a route of every host
 * @param split the services that share the requests; none when {@code service} takes them all
 * @param priority the rank of its requests where work has to wait, 0 first; none is {@link #LOWEST_PRIORITY}
 * @param targetLatencyMilliseconds within which an answer is worth most to its caller
 */
public record Route(
        RouteName name,
        String pathPrefix,
        List<String> methods,
        ServiceName service,
        RequestKind kind,
        TrafficPolicyName trafficPolicy,
        Optional<String> host,
        Optional<List<WeightedService>> split,
        Optional<Integer> priority,
        Optional<Integer> targetLatencyMilliseconds) {

    /** The rank of a route that declares none. */
    public static final int LOWEST_PRIORITY = 9;

    /** Checks that every part is there and copies the methods. */
    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(methods, "methods is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(trafficPolicy, "trafficPolicy is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(priority, "priority is null");
        Objects.requireNonNull(targetLatencyMilliseconds, "targetLatencyMilliseconds is null");
        methods = List.copyOf(methods);
        split = split.map(List::copyOf);
    }

    /** Returns a route of every host whose requests all go to one service. */
    public static Route of(
            RouteName name,
            String pathPrefix,
            List<String> methods,
            ServiceName service,
            RequestKind kind,
            TrafficPolicyName trafficPolicy) {
        return new Route(
                name,
                pathPrefix,
                methods,
                service,
                kind,
                trafficPolicy,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    // -- queries

    /** Returns the services that share the requests; one with the whole weight when they are not split. */
    public List<WeightedService> weightedServices() {
        return split.orElseGet(() -> List.of(new WeightedService(service, 1)));
    }

    /** Returns the rank of the route's requests, 0 first. */
    public int effectivePriority() {
        return priority.orElse(LOWEST_PRIORITY);
    }

    /** Returns whether this route takes the request. The prefix ends at a path separator, a query or the path's end. */
    public boolean matches(String method, String path) {
        return methods.contains(method) && isPrefixOf(path);
    }

    private boolean isPrefixOf(String path) {
        if (!path.startsWith(pathPrefix)) {
            return false;
        }
        if (path.length() == pathPrefix.length() || pathPrefix.endsWith("/")) {
            return true;
        }
        char next = path.charAt(pathPrefix.length());
        return next == '/' || next == '?';
    }
}
