package org.oleanderturn.model;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * The difference between two snapshots, object by object.
 *
 * <p>Invariant: applying it yields either a snapshot with exactly the expected digest or a {@link Mismatch}. Immutable
 * and thread safe.
 *
 * @param from the version that the delta applies to
 * @param base the digest of the configuration that the delta applies to
 * @param to the version of the resulting snapshot
 * @param result the digest of the resulting configuration
 * @param changed the objects that are added or replaced; it declares organisations if the resulting configuration does
 * @param removedServices the services that are removed
 * @param removedRoutes the routes that are removed
 * @param removedTrafficPolicies the traffic policies that are removed
 * @param removedOrganisations the organisations that are removed; empty when there are none
 */
public record ConfigurationDelta(
        ConfigurationVersion from,
        Digest base,
        ConfigurationVersion to,
        Digest result,
        Configuration changed,
        List<ServiceName> removedServices,
        List<RouteName> removedRoutes,
        List<TrafficPolicyName> removedTrafficPolicies,
        Optional<List<OrganisationName>> removedOrganisations) {

    /** Copies the lists; throws {@link NullPointerException} if a component is null. */
    public ConfigurationDelta {
        Objects.requireNonNull(from, "from is null");
        Objects.requireNonNull(base, "base is null");
        Objects.requireNonNull(to, "to is null");
        Objects.requireNonNull(result, "result is null");
        Objects.requireNonNull(changed, "changed is null");
        removedServices = List.copyOf(removedServices);
        removedRoutes = List.copyOf(removedRoutes);
        removedTrafficPolicies = List.copyOf(removedTrafficPolicies);
        removedOrganisations = removedOrganisations.map(List::copyOf);
    }

    /** Computes the delta from one snapshot to another. */
    public static ConfigurationDelta between(ConfigurationSnapshot from, ConfigurationSnapshot to) {
        Configuration before = from.configuration();
        Configuration after = to.configuration();
        Configuration changed = Configuration.of(
                        added(before.services(), after.services(), Service::name),
                        added(before.routes(), after.routes(), Route::name),
                        added(before.trafficPolicies(), after.trafficPolicies(), TrafficPolicy::name))
                .withOrganisations(after.organisations()
                        .map(organisations -> added(organisations(before), organisations, Organisation::name)));
        List<OrganisationName> removedOrganisations =
                removed(organisations(before), organisations(after), Organisation::name);
        return new ConfigurationDelta(
                from.version(),
                from.digest(),
                to.version(),
                to.digest(),
                changed,
                removed(before.services(), after.services(), Service::name),
                removed(before.routes(), after.routes(), Route::name),
                removed(before.trafficPolicies(), after.trafficPolicies(), TrafficPolicy::name),
                removedOrganisations.isEmpty() ? Optional.empty() : Optional.of(removedOrganisations));
    }

    /** Applies this delta to a snapshot; a {@link Mismatch} when the snapshot or the result is not the expected one. */
    public Either<Mismatch, ConfigurationSnapshot> applyTo(ConfigurationSnapshot snapshot) {
        if (!snapshot.version().equals(from) || !snapshot.digest().equals(base)) {
            return Either.left(new Mismatch.OtherBase(from, snapshot.version()));
        }
        Configuration before = snapshot.configuration();
        Configuration after = Configuration.of(
                        merge(before.services(), changed.services(), removedServices, Service::name),
                        merge(before.routes(), changed.routes(), removedRoutes, Route::name),
                        merge(
                                before.trafficPolicies(),
                                changed.trafficPolicies(),
                                removedTrafficPolicies,
                                TrafficPolicy::name))
                .withOrganisations(changed.organisations()
                        .map(organisations -> merge(
                                organisations(before),
                                organisations,
                                removedOrganisations.orElse(List.of()),
                                Organisation::name)));
        ConfigurationSnapshot actual = ConfigurationSnapshot.of(to, after);
        if (!actual.digest().equals(result)) {
            return Either.left(new Mismatch.OtherResult(result, actual.digest()));
        }
        return Either.right(actual);
    }

    /** Returns the number of objects that are added, replaced or removed. */
    public int objects() {
        return changed.services().size()
                + changed.routes().size()
                + changed.trafficPolicies().size()
                + organisations(changed).size()
                + removedServices.size()
                + removedRoutes.size()
                + removedTrafficPolicies.size()
                + removedOrganisations.orElse(List.of()).size();
    }

    /** Returns whether only the version changes. */
    public boolean isEmpty() {
        return base.equals(result);
    }

    private static List<Organisation> organisations(Configuration configuration) {
        return configuration.organisations().orElse(List.of());
    }

    /** Returns the objects of the second list that the first does not contain; both lists are sorted by name. */
    private static <T, N extends Comparable<N>> List<T> added(List<T> before, List<T> after, Function<T, N> nameOf) {
        List<T> added = new ArrayList<>();
        int position = 0;
        for (T object : after) {
            N name = nameOf.apply(object);
            position = firstFrom(before, position, name, nameOf);
            if (!containsFrom(before, position, object, nameOf)) {
                added.add(object);
            }
        }
        return added;
    }

    /** Returns whether a list that is sorted by name contains an object, of whose name the first is at the position. */
    private static <T, N> boolean containsFrom(List<T> sorted, int position, T object, Function<T, N> nameOf) {
        N name = nameOf.apply(object);
        for (int index = position;
                index < sorted.size() && nameOf.apply(sorted.get(index)).equals(name);
                index++) {
            if (sorted.get(index).equals(object)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the names in the first list that the second does not contain; both lists are sorted by name. */
    private static <T, N extends Comparable<N>> List<N> removed(List<T> before, List<T> after, Function<T, N> nameOf) {
        List<N> removed = new ArrayList<>();
        int position = 0;
        for (T object : before) {
            N name = nameOf.apply(object);
            position = firstFrom(after, position, name, nameOf);
            if (position == after.size() || !nameOf.apply(after.get(position)).equals(name)) {
                removed.add(name);
            }
        }
        return removed;
    }

    /** Returns the first position, at or after the given one, of an object whose name is not less than the given one. */
    private static <T, N extends Comparable<N>> int firstFrom(
            List<T> sorted, int position, N name, Function<T, N> nameOf) {
        int first = position;
        while (first < sorted.size() && nameOf.apply(sorted.get(first)).compareTo(name) < 0) {
            first++;
        }
        return first;
    }

    private static <T, N> List<T> merge(List<T> before, List<T> changed, List<N> removed, Function<T, N> nameOf) {
        Map<N, T> merged = new HashMap<>();
        before.forEach(object -> merged.put(nameOf.apply(object), object));
        removed.forEach(merged::remove);
        changed.forEach(object -> merged.put(nameOf.apply(object), object));
        return new ArrayList<>(merged.values());
    }

    /** The reason why a delta could not be applied. */
    public sealed interface Mismatch {

        /** The delta applies to another snapshot than the given one. */
        record OtherBase(ConfigurationVersion expected, ConfigurationVersion held) implements Mismatch {}

        /** The resulting configuration does not have the expected digest. */
        record OtherResult(Digest expected, Digest reached) implements Mismatch {}
    }
}
