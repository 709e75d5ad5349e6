package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of an organisation, unique within a configuration.
 *
 * <p>Invariant: the value is a well-formed name as defined by {@link Names}. Immutable and thread safe.
 */
public record OrganisationName(@JsonValue String value) implements Comparable<OrganisationName> {

    /** Throws {@link IllegalArgumentException} if the value is not a well-formed name. */
    public OrganisationName {
        Names.check(value, "organisation name");
    }

    /**
     * Returns the organisation name with the given value.
     *
     * @throws IllegalArgumentException when the value is not a well-formed name
     */
    @JsonCreator
    public static OrganisationName of(String value) {
        return new OrganisationName(value);
    }

    @Override
    public int compareTo(OrganisationName other) {
        return value.compareTo(other.value);
    }

    // Written out: the generated methods go through method handles, which are slow until they are compiled.

    @Override
    public boolean equals(Object other) {
        return this == other || (other instanceof OrganisationName that && value.equals(that.value));
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
