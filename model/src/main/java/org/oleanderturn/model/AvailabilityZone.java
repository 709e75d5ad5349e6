package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an availability zone.
 *
 * <p>Invariant: the value is a well-formed name, see {@link Names}. Immutable and thread safe.
 */
public record AvailabilityZone(@JsonValue String value) implements Comparable<AvailabilityZone> {

    /** Checks the name; a malformed one is an {@link IllegalArgumentException}. */
    public AvailabilityZone {
        Names.check(value, "availability zone");
    }

    /**
     * Returns the availability zone with the given value.
     *
     * @throws IllegalArgumentException when the value is not a well-formed name
     */
    @JsonCreator
    public static AvailabilityZone of(String value) {
        return new AvailabilityZone(value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
