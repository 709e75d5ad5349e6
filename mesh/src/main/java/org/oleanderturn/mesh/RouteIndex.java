package org.oleanderturn.mesh;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;

/**
 * Finds the route of a request by its virtual host and the longest prefix of its path.
 *
 * <p>Invariant: made of one snapshot; work for a request does not grow with the routes of other hosts. Immutable and
 * thread safe.
 */
public final class RouteIndex {
    private static final RouteIndex EMPTY = new RouteIndex(ConfigurationSnapshot.empty(), Map.of());

    private final ConfigurationSnapshot snapshot;
    private final Map<String, List<Match>> matchesByHost;

    private RouteIndex(ConfigurationSnapshot snapshot, Map<String, List<Match>> hosts) {
        this.snapshot = snapshot;
        this.matchesByHost = hosts;
    }

    /** A route with its policy. */
    public record Match(Route route, TrafficPolicy policy) {

        /** Checks that both are there. */
        public Match {
            Objects.requireNonNull(route, "route is null");
            Objects.requireNonNull(policy, "policy is null");
        }
    }

    /** Returns the index of a valid snapshot's routes of virtual hosts. */
    public static RouteIndex of(ConfigurationSnapshot snapshot) {
        Objects.requireNonNull(snapshot, "snapshot is null");
        Map<TrafficPolicyName, TrafficPolicy> policies = new HashMap<>();
        snapshot.configuration().trafficPolicies().forEach(policy -> policies.put(policy.name(), policy));
        Map<String, List<Match>> hosts = new HashMap<>();
        for (Route route : snapshot.configuration().routes()) {
            TrafficPolicy policy = policies.get(route.trafficPolicy());
            if (route.host().isPresent() && policy != null) {
                hosts.computeIfAbsent(lowerCase(route.host().get()), _ -> new ArrayList<>())
                        .add(new Match(route, policy));
            }
        }
        Comparator<Match> longestFirst =
                Comparator.comparingInt(match -> -match.route().pathPrefix().length());
        hosts.replaceAll((_, matches) -> matches.stream().sorted(longestFirst).toList());
        return new RouteIndex(snapshot, Map.copyOf(hosts));
    }

    /** Returns the index without routes. */
    public static RouteIndex empty() {
        return EMPTY;
    }

    /** Returns the snapshot that the routes come from. */
    public ConfigurationSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the route of a request, by the longest prefix that begins its path. */
    public Optional<Match> find(String host, String method, String path) {
        for (Match match : matchesByHost.getOrDefault(lowerCase(host), List.of())) {
            Route route = match.route();
            boolean isMethod = route.methods().isEmpty() || route.methods().contains(method);
            if (isMethod && path.startsWith(route.pathPrefix())) {
                return Optional.of(match);
            }
        }
        return Optional.empty();
    }

    private static String lowerCase(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
