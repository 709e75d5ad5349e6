package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;

/**
 * Puts a change that was made to one configuration on top of a newer one, object by object.
 *
 * <p>Stateless and thread safe.
 */
final class Rebase {
    private Rebase() {}

    /** Returns the paths of the objects that differ between two configurations, sorted. */
    static List<String> changedPaths(Configuration before, Configuration after) {
        Map<String, Object> old = objects(before);
        Map<String, Object> young = objects(after);
        TreeSet<String> paths = new TreeSet<>(old.keySet());
        paths.addAll(young.keySet());
        paths.removeIf(path -> Objects.equals(old.get(path), young.get(path)));
        return List.copyOf(paths);
    }

    /**
     * Returns the current configuration with the change from base to proposed made to it, or the paths that both
     * changed. Whether the result is valid is for the validator to say.
     */
    static Either<List<String>, Configuration> rebase(
            Configuration base, Configuration proposed, Configuration current) {
        List<String> ours = changedPaths(base, proposed);
        List<String> clashes = new ArrayList<>(changedPaths(base, current));
        clashes.retainAll(ours);
        if (!clashes.isEmpty()) {
            return Either.left(List.copyOf(clashes));
        }
        Map<String, Object> merged = objects(current);
        Map<String, Object> wanted = objects(proposed);
        merged.keySet().removeAll(ours);
        wanted.keySet().retainAll(ours);
        merged.putAll(wanted);
        return Either.right(Configuration.of(
                ofType(merged, Service.class), ofType(merged, Route.class), ofType(merged, TrafficPolicy.class)));
    }

    private static Map<String, Object> objects(Configuration configuration) {
        Map<String, Object> objects = new TreeMap<>();
        configuration.services().forEach(service -> objects.put("services/" + service.name(), service));
        configuration.routes().forEach(route -> objects.put("routes/" + route.name(), route));
        configuration.trafficPolicies().forEach(policy -> objects.put("trafficPolicies/" + policy.name(), policy));
        return objects;
    }

    private static <T> List<T> ofType(Map<String, Object> objects, Class<T> type) {
        return objects.values().stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }
}
