package org.oleanderturn.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;

/**
 * The differences between the configuration in force and a declared one, as paths such as {@code services/docs}.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the version in force
 * @param added objects declared but not in force
 * @param removed objects in force but not declared
 * @param changed objects that are both in force and declared, with different content
 */
public record ConfigurationDifference(
        ConfigurationVersion version, List<String> added, List<String> removed, List<String> changed) {

    /** Copies the paths. */
    public ConfigurationDifference {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
        changed = List.copyOf(changed);
    }

    /** Returns what would change if the declared configuration replaced the one in force. */
    public static ConfigurationDifference between(
            ConfigurationVersion version, Configuration inForce, Configuration declared) {
        ConfigurationDifference difference = new ConfigurationDifference(version, List.of(), List.of(), List.of());
        return difference
                .withObjects("services/", inForce.services(), declared.services(), Service::name)
                .withObjects("routes/", inForce.routes(), declared.routes(), Route::name)
                .withObjects(
                        "trafficPolicies/", inForce.trafficPolicies(), declared.trafficPolicies(), TrafficPolicy::name)
                .withObjects(
                        "organisations/",
                        inForce.organisations().orElse(List.of()),
                        declared.organisations().orElse(List.of()),
                        Organisation::name);
    }

    private <T> ConfigurationDifference withObjects(
            String kind, List<T> inForce, List<T> declared, Function<T, ?> name) {
        List<String> newAdded = new ArrayList<>(added);
        List<String> newRemoved = new ArrayList<>(removed);
        List<String> newChanged = new ArrayList<>(changed);
        for (T object : declared) {
            Optional<T> current = find(inForce, name, name.apply(object));
            if (current.isEmpty()) {
                newAdded.add(kind + name.apply(object));
            } else if (!current.get().equals(object)) {
                newChanged.add(kind + name.apply(object));
            }
        }
        for (T object : inForce) {
            if (find(declared, name, name.apply(object)).isEmpty()) {
                newRemoved.add(kind + name.apply(object));
            }
        }
        return new ConfigurationDifference(version, newAdded, newRemoved, newChanged);
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

    /** Returns the differences as text, one per line: {@code +} added, {@code -} removed, {@code ~} changed. */
    String describe() {
        if (isEmpty()) {
            return "no differences from version " + version;
        }
        List<String> lines = new ArrayList<>();
        lines.add("differences from version " + version);
        added.forEach(path -> lines.add("+ " + path));
        removed.forEach(path -> lines.add("- " + path));
        changed.forEach(path -> lines.add("~ " + path));
        return String.join(System.lineSeparator(), lines);
    }
}
