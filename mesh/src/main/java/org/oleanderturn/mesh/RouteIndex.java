package org.oleanderturn.mesh;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;

/**
 * Finds the route of a request by its virtual host and the longest matching path prefix, and the organisation of a key.
 *
 * <p>Invariant: built from one snapshot; the cost of a lookup does not grow with the routes of other hosts. Immutable and
 * thread safe.
 */
public final class RouteIndex {
    private static final RouteIndex EMPTY = new RouteIndex(ConfigurationSnapshot.empty(), Map.of(), Map.of(), Map.of());

    private final ConfigurationSnapshot snapshot;
    private final Map<String, List<Match>> matchesByHost;
    private final Map<KeyDigest, Organisation> organisationsByKey;
    private final Map<OrganisationName, Set<String>> keyPrefixes;

    private RouteIndex(
            ConfigurationSnapshot snapshot,
            Map<String, List<Match>> matchesByHost,
            Map<KeyDigest, Organisation> organisationsByKey,
            Map<OrganisationName, Set<String>> keyPrefixes) {
        this.snapshot = snapshot;
        this.matchesByHost = matchesByHost;
        this.organisationsByKey = organisationsByKey;
        this.keyPrefixes = keyPrefixes;
    }

    /** A route with its traffic policy. */
    public record Match(Route route, TrafficPolicy policy) {

        /** Throws a {@link NullPointerException} when the route or the policy is null. */
        public Match {
            Objects.requireNonNull(route, "route is null");
            Objects.requireNonNull(policy, "policy is null");
        }
    }

    /** Returns the index of the routes in a valid snapshot; routes without a virtual host are left out. */
    public static RouteIndex of(ConfigurationSnapshot snapshot) {
        Objects.requireNonNull(snapshot, "snapshot is null");
        Map<TrafficPolicyName, TrafficPolicy> policies = new HashMap<>();
        snapshot.configuration().trafficPolicies().forEach(policy -> policies.put(policy.name(), policy));
        Map<String, List<Match>> matchesByHost = new HashMap<>();
        for (Route route : snapshot.configuration().routes()) {
            TrafficPolicy policy = policies.get(route.trafficPolicy());
            if (route.host().isPresent() && policy != null) {
                matchesByHost
                        .computeIfAbsent(lowerCase(route.host().get()), _ -> new ArrayList<>())
                        .add(new Match(route, policy));
            }
        }
        Comparator<Match> longestFirst =
                Comparator.comparingInt(match -> -match.route().pathPrefix().length());
        matchesByHost.replaceAll(
                (_, matches) -> matches.stream().sorted(longestFirst).toList());
        return new RouteIndex(snapshot, Map.copyOf(matchesByHost), organisationsByKey(snapshot), keyPrefixes(snapshot));
    }

    private static Map<KeyDigest, Organisation> organisationsByKey(ConfigurationSnapshot snapshot) {
        Map<KeyDigest, Organisation> organisations = new HashMap<>();
        for (Organisation organisation :
                snapshot.configuration().organisations().orElse(List.of())) {
            organisation.keys().forEach(key -> organisations.put(key, organisation));
        }
        return Map.copyOf(organisations);
    }

    private static Map<OrganisationName, Set<String>> keyPrefixes(ConfigurationSnapshot snapshot) {
        return snapshot.configuration().organisations().orElse(List.of()).stream()
                .collect(Collectors.toUnmodifiableMap(
                        Organisation::name,
                        organisation -> organisation.keys().stream()
                                .map(KeyDigest::prefix)
                                .collect(Collectors.toUnmodifiableSet())));
    }

    /** Returns the index of the empty snapshot, which has no routes. */
    public static RouteIndex empty() {
        return EMPTY;
    }

    /** Returns whether no version of the configuration is known yet. */
    public boolean isEmpty() {
        return snapshot.version().equals(ConfigurationVersion.none());
    }

    /** Returns the snapshot that the index was built from. */
    public ConfigurationSnapshot snapshot() {
        return snapshot;
    }

    /** Returns whether requests need a key unless their route allows anonymous ones. */
    public boolean areKeysRequired() {
        return snapshot.configuration().organisations().isPresent();
    }

    /** Returns the organisation that holds a key; empty when none does. */
    public Optional<Organisation> organisation(KeyDigest key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }

    /** Returns whether an organisation holds a key whose digest begins with the given prefix. */
    boolean hasKey(OrganisationName name, String digestPrefix) {
        return keyPrefixes.getOrDefault(name, Set.of()).contains(digestPrefix);
    }

    /** Returns the route of a host with the longest prefix of the path; host names are compared without regard to case. */
    public Optional<Match> find(String host, String method, String path) {
        for (Match match : matchesByHost.getOrDefault(lowerCase(host), List.of())) {
            Route route = match.route();
            boolean isMethodAllowed =
                    route.methods().isEmpty() || route.methods().contains(method);
            if (isMethodAllowed && path.startsWith(route.pathPrefix())) {
                return Optional.of(match);
            }
        }
        return Optional.empty();
    }

    private static String lowerCase(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
