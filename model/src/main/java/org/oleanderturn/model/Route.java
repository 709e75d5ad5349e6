package org.oleanderturn.model;

import java.util.List;
import java.util.Objects;

/**
 * The declaration of a route: requests whose path starts with a prefix and whose method is listed go to a service.
 *
 * @param name the route's name
 * @param pathPrefix starts with a slash; the longest matching prefix wins
 * @param methods HTTP methods in upper case
 * @param service the service that answers
 * @param kind what the requests are
 * @param trafficPolicy the policy that governs them
 */
public record Route(
        RouteName name,
        String pathPrefix,
        List<String> methods,
        ServiceName service,
        RequestKind kind,
        TrafficPolicyName trafficPolicy) {

    /** Checks that every part is there and copies the methods. */
    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(methods, "methods is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(trafficPolicy, "trafficPolicy is null");
        methods = List.copyOf(methods);
    }

    /** Returns whether this route takes the request. The prefix ends at a path separator, a query or the path's end. */
    public boolean isMatch(String method, String path) {
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
