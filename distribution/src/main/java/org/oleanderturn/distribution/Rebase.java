package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;

/**
 * Applies a change that was made to one configuration to a newer one, object by object.
 *
 * <p>Stateless and thread safe.
 */
final class Rebase {
    private Rebase() {}

    /** Returns the sorted paths of the objects that differ between two configurations. */
    static List<String> changedPaths(Configuration before, Configuration after) {
        Map<String, Object> oldObjects = objects(before);
        Map<String, Object> newObjects = objects(after);
        TreeSet<String> paths = new TreeSet<>(oldObjects.keySet());
        paths.addAll(newObjects.keySet());
        paths.removeIf(path -> Objects.equals(oldObjects.get(path), newObjects.get(path)));
        return List.copyOf(paths);
    }

    /**
     * Applies the change from base to proposed to the current configuration; left with the paths that both changed when
     * there are any. The result is not validated.
     */
    static Either<List<String>, Configuration> rebase(
            Configuration base, Configuration proposed, Configuration current) {
        List<String> proposedPaths = changedPaths(base, proposed);
        List<String> conflicts = new ArrayList<>(changedPaths(base, current));
        conflicts.retainAll(proposedPaths);
        if (!conflicts.isEmpty()) {
            return Either.left(List.copyOf(conflicts));
        }
        Map<String, Object> merged = objects(current);
        Map<String, Object> proposedObjects = objects(proposed);
        merged.keySet().removeAll(proposedPaths);
        proposedObjects.keySet().retainAll(proposedPaths);
        merged.putAll(proposedObjects);
        return Either.right(Configuration.of(
                        ofType(merged, Service.class), ofType(merged, Route.class), ofType(merged, TrafficPolicy.class))
                .withOrganisations(
                        declaresOrganisations(base, proposed, current)
                                ? Optional.of(ofType(merged, Organisation.class))
                                : Optional.empty()));
    }

    private static boolean declaresOrganisations(Configuration base, Configuration proposed, Configuration current) {
        boolean isProposed = proposed.organisations().isPresent();
        boolean isChanged = isProposed != base.organisations().isPresent();
        return isChanged ? isProposed : current.organisations().isPresent();
    }

    private static Map<String, Object> objects(Configuration configuration) {
        Map<String, Object> objects = new TreeMap<>();
        configuration.services().forEach(service -> objects.put("services/" + service.name(), service));
        configuration.routes().forEach(route -> objects.put("routes/" + route.name(), route));
        configuration.trafficPolicies().forEach(policy -> objects.put("trafficPolicies/" + policy.name(), policy));
        configuration
                .organisations()
                .orElse(List.of())
                .forEach(organisation -> objects.put("organisations/" + organisation.name(), organisation));
        return objects;
    }

    private static <T> List<T> ofType(Map<String, Object> objects, Class<T> type) {
        return objects.values().stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }
}
