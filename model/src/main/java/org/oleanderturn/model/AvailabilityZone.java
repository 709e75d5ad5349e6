package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of an availability zone.
 *
 * <p>Invariant: the value is a well-formed name as defined by {@link Names}. Immutable and thread safe.
 */
public record AvailabilityZone(@JsonValue String value) implements Comparable<AvailabilityZone> {

    /** Throws {@link IllegalArgumentException} if the value is not a well-formed name. */
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

    // Written out: the generated methods go through method handles, which are slow until they are compiled.

    @Override
    public boolean equals(Object other) {
        return this == other || (other instanceof AvailabilityZone that && value.equals(that.value));
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
