package org.oleanderturn.model;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

/**
 * What changes from one snapshot to a later one, object by object.
 *
 * <p>Invariant: applying it gives a snapshot with exactly the stated digest or a {@link Mismatch}; nothing in between.
 * Immutable and thread safe.
 *
 * @param from the version it applies to
 * @param base the digest of the configuration it applies to
 * @param to the version it leads to
 * @param result the digest of the configuration it leads to
 * @param changed objects added or replaced
 * @param removedServices services that are gone
 * @param removedRoutes routes that are gone
 * @param removedTrafficPolicies traffic policies that are gone
 */
public record ConfigurationDelta(
        ConfigurationVersion from,
        Digest base,
        ConfigurationVersion to,
        Digest result,
        Configuration changed,
        List<ServiceName> removedServices,
        List<RouteName> removedRoutes,
        List<TrafficPolicyName> removedTrafficPolicies) {

    /** Checks that every part is there and copies the lists. */
    public ConfigurationDelta {
        Objects.requireNonNull(from, "from is null");
        Objects.requireNonNull(base, "base is null");
        Objects.requireNonNull(to, "to is null");
        Objects.requireNonNull(result, "result is null");
        Objects.requireNonNull(changed, "changed is null");
        removedServices = List.copyOf(removedServices);
        removedRoutes = List.copyOf(removedRoutes);
        removedTrafficPolicies = List.copyOf(removedTrafficPolicies);
    }

    /** Returns what changes from one snapshot to another. */
    public static ConfigurationDelta between(ConfigurationSnapshot from, ConfigurationSnapshot to) {
        Configuration before = from.configuration();
        Configuration after = to.configuration();
        Configuration changed = Configuration.of(
                added(before.services(), after.services()),
                added(before.routes(), after.routes()),
                added(before.trafficPolicies(), after.trafficPolicies()));
        return new ConfigurationDelta(
                from.version(),
                from.digest(),
                to.version(),
                to.digest(),
                changed,
                removed(before.services(), after.services(), Service::name),
                removed(before.routes(), after.routes(), Route::name),
                removed(before.trafficPolicies(), after.trafficPolicies(), TrafficPolicy::name));
    }

    /** Returns the snapshot this leads to from the given one, or a {@link Mismatch} when it does not fit. */
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
                        TrafficPolicy::name));
        ConfigurationSnapshot reached = ConfigurationSnapshot.of(to, after);
        if (!reached.digest().equals(result)) {
            return Either.left(new Mismatch.OtherResult(result, reached.digest()));
        }
        return Either.right(reached);
    }

    /** Returns whether nothing but the version changes. */
    public boolean isEmpty() {
        return base.equals(result);
    }

    private static <T> List<T> added(List<T> before, List<T> after) {
        Set<T> known = new HashSet<>(before);
        return after.stream().filter(object -> !known.contains(object)).toList();
    }

    private static <T, N> List<N> removed(List<T> before, List<T> after, Function<T, N> name) {
        Set<N> kept = new HashSet<>(after.stream().map(name).toList());
        return before.stream().map(name).filter(key -> !kept.contains(key)).toList();
    }

    private static <T, N> List<T> merge(List<T> before, List<T> changed, List<N> gone, Function<T, N> name) {
        Map<N, T> merged = new HashMap<>();
        before.forEach(object -> merged.put(name.apply(object), object));
        gone.forEach(merged::remove);
        changed.forEach(object -> merged.put(name.apply(object), object));
        return new ArrayList<>(merged.values());
    }

    /** Why a delta does not fit. */
    public sealed interface Mismatch {

        /** The delta applies to another snapshot than the one held. */
        record OtherBase(ConfigurationVersion expected, ConfigurationVersion held) implements Mismatch {}

        /** The delta leads to another configuration than it says. */
        record OtherResult(Digest expected, Digest reached) implements Mismatch {}
    }
}
