package org.oleanderturn.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The declaration of a route: requests whose path starts with a prefix and whose method is listed go to a service.
 *
 * <p>A route of a virtual host matches only requests for that host, and any method when it lists none. Immutable and
 * thread safe.
 *
 * @param name the name of the route, unique within the configuration
 * @param pathPrefix the path prefix, which starts with a slash; the longest matching prefix wins
 * @param methods the HTTP methods that the route matches, in upper case
 * @param service the service that receives the requests
 * @param kind the kind of the requests, which determines whether they may be retried
 * @param trafficPolicy the traffic policy that applies to the requests
 * @param host the virtual host that the route belongs to; empty when the route matches any host
 * @param split the services that the requests are split between; empty when {@code service} receives all of them
 * @param priority the priority of queued requests, 0 being the highest; empty means {@link #LOWEST_PRIORITY}
 * @param targetLatencyMilliseconds the latency within which a response has its full value to the caller
 * @param anonymousAllowed whether requests need no key where organisations are declared; empty means that they need one
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
        Optional<Integer> targetLatencyMilliseconds,
        Optional<Boolean> anonymousAllowed) {

    /** The priority of a route that declares none. */
    public static final int LOWEST_PRIORITY = 9;

    /** Copies the lists; throws {@link NullPointerException} if a component is null. */
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
        Objects.requireNonNull(anonymousAllowed, "anonymousAllowed is null");
        methods = List.copyOf(methods);
        split = split.map(List::copyOf);
    }

    /** Creates a route whose requests need a key where organisations are declared. */
    public Route(
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
        this(
                name,
                pathPrefix,
                methods,
                service,
                kind,
                trafficPolicy,
                host,
                split,
                priority,
                targetLatencyMilliseconds,
                Optional.empty());
    }

    /** Returns a route that matches any host, sends all requests to one service and has the lowest priority. */
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

    /** Returns the services that the requests are split between; a single one of weight 1 when there is no split. */
    public List<WeightedService> weightedServices() {
        return split.orElseGet(() -> List.of(new WeightedService(service, 1)));
    }

    /** Returns whether requests need no key where organisations are declared. */
    public boolean isAnonymousAllowed() {
        return anonymousAllowed.orElse(false);
    }

    /** Returns the declared priority of the route's requests, or {@link #LOWEST_PRIORITY}; 0 is the highest. */
    public int effectivePriority() {
        return priority.orElse(LOWEST_PRIORITY);
    }

    /**
     * Returns whether this route matches a request. The prefix has to end at a slash, a query or the end of the path.
     */
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
