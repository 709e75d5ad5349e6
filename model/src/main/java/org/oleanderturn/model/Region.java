package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a region, which contains availability zones.
 *
 * <p>Invariant: the value is a well-formed name as defined by {@link Names}. Immutable and thread safe.
 */
public record Region(@JsonValue String value) implements Comparable<Region> {

    /** Throws {@link IllegalArgumentException} if the value is not a well-formed name. */
    public Region {
        Names.check(value, "region");
    }

    /**
     * Returns the region with the given value.
     *
     * @throws IllegalArgumentException when the value is not a well-formed name
     */
    @JsonCreator
    public static Region of(String value) {
        return new Region(value);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    // Written out: the generated methods go through method handles, which are slow until they are compiled.

    @Override
    public boolean equals(Object other) {
        return this == other || (other instanceof Region that && value.equals(that.value));
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
