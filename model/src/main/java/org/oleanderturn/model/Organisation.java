package org.oleanderturn.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The declaration of an organisation: who may send requests, and how many.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the name of the organisation, unique within the configuration
 * @param keys the digests of the keys that its requests carry, sorted
 * @param priority goes before the priority of a route, 0 being the highest; empty means the highest
 * @param limit the limit on its requests; empty when there is none
 */
public record Organisation(
        OrganisationName name, List<KeyDigest> keys, Optional<Integer> priority, Optional<RequestLimit> limit) {

    /** Copies the keys sorted; throws {@link NullPointerException} if a component is null. */
    public Organisation {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(keys, "keys is null");
        Objects.requireNonNull(priority, "priority is null");
        Objects.requireNonNull(limit, "limit is null");
        keys = keys.stream().sorted().toList();
    }

    /** Returns an organisation of the highest priority and without a limit. */
    public static Organisation of(OrganisationName name, List<KeyDigest> keys) {
        return new Organisation(name, keys, Optional.empty(), Optional.empty());
    }
}
