package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a traffic policy, unique within a configuration.
 *
 * <p>Invariant: the value is a well-formed name as defined by {@link Names}. Immutable and thread safe.
 */
public record TrafficPolicyName(@JsonValue String value) implements Comparable<TrafficPolicyName> {

    /** Throws {@link IllegalArgumentException} if the value is not a well-formed name. */
    public TrafficPolicyName {
        Names.check(value, "traffic policy name");
    }

    /**
     * Returns the traffic policy name with the given value.
     *
     * @throws IllegalArgumentException when the value is not a well-formed name
     */
    @JsonCreator
    public static TrafficPolicyName of(String value) {
        return new TrafficPolicyName(value);
    }

    @Override
    public int compareTo(TrafficPolicyName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
