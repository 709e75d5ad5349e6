package org.oleanderturn.model;

import java.util.Objects;

/**
 * What the nodes state of a rollout in the store.
 *
 * <p>Immutable and thread safe.
 *
 * @param state how far it is
 * @param target the version that the order names
 */
public record RolloutStatus(RolloutState state, SoftwareVersion target) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public RolloutStatus {
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(target, "target is null");
    }
}
