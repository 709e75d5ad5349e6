package org.oleanderturn.mesh;

import java.util.Objects;

/**
 * One start of a target: the same instance id may start again.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance the target's instance id
 * @param bornMilliseconds the moment of its start by its own clock, in Unix milliseconds; {@link #UNSTATED} when it did not say
 */
public record TargetStart(String instance, long bornMilliseconds) {

    /** Stands for the moment of a start that did not say it. */
    public static final long UNSTATED = 0;

    /** Checks that the instance is there. */
    public TargetStart {
        Objects.requireNonNull(instance, "instance is null");
    }

    /** Returns whether this start came after another. */
    public boolean isAfter(TargetStart other) {
        return bornMilliseconds > other.bornMilliseconds;
    }
}
