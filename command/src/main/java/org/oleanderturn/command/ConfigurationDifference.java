package org.oleanderturn.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;

/**
 * What differs between the configuration in force and declared one, by the path of each object.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the version in force
 * @param added objects declared but not in force
 * @param removed objects in force but not declared
 * @param changed objects that are both, with other content
 */
public record ConfigurationDifference(
        ConfigurationVersion version, List<String> added, List<String> removed, List<String> changed) {

    /** Copies the paths. */
    public ConfigurationDifference {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
        changed = List.copyOf(changed);
    }

    /** Returns what would change if the declared configuration came into force. */
    public static ConfigurationDifference between(
            ConfigurationVersion version, Configuration inForce, Configuration declared) {
        ConfigurationDifference difference = new ConfigurationDifference(version, List.of(), List.of(), List.of());
        return difference
                .with("services/", inForce.services(), declared.services(), Service::name)
                .with("routes/", inForce.routes(), declared.routes(), Route::name)
                .with("trafficPolicies/", inForce.trafficPolicies(), declared.trafficPolicies(), TrafficPolicy::name);
    }

    private <T> ConfigurationDifference with(String sort, List<T> inForce, List<T> declared, Function<T, ?> name) {
        List<String> moreAdded = new ArrayList<>(added);
        List<String> moreRemoved = new ArrayList<>(removed);
        List<String> moreChanged = new ArrayList<>(changed);
        for (T object : declared) {
            Optional<T> before = find(inForce, name, name.apply(object));
            if (before.isEmpty()) {
                moreAdded.add(sort + name.apply(object));
            } else if (!before.get().equals(object)) {
                moreChanged.add(sort + name.apply(object));
            }
        }
        for (T object : inForce) {
            if (find(declared, name, name.apply(object)).isEmpty()) {
                moreRemoved.add(sort + name.apply(object));
            }
        }
        return new ConfigurationDifference(version, moreAdded, moreRemoved, moreChanged);
    }

    private static <T> Optional<T> find(List<T> objects, Function<T, ?> name, Object wanted) {
        return objects.stream()
                .filter(object -> name.apply(object).equals(wanted))
                .findFirst();
    }

    /** Returns whether nothing differs. */
    public boolean isEmpty() {
        return added.isEmpty() && removed.isEmpty() && changed.isEmpty();
    }

    /** Returns the differences in words, one a line. */
    String describe() {
        if (isEmpty()) {
            return "no difference from version " + version;
        }
        List<String> lines = new ArrayList<>();
        lines.add("against version " + version);
        added.forEach(path -> lines.add("+ " + path));
        removed.forEach(path -> lines.add("- " + path));
        changed.forEach(path -> lines.add("~ " + path));
        return String.join(System.lineSeparator(), lines);
    }
}
