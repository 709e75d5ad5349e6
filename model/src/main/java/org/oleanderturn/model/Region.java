package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a region.
 *
 * <p>Invariant: the value is a well-formed name, see {@link Names}. Immutable and thread safe.
 */
public record Region(@JsonValue String value) implements Comparable<Region> {

    /** Checks the name; a malformed one is an {@link IllegalArgumentException}. */
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

    @Override
    public String toString() {
        return value;
    }
}
