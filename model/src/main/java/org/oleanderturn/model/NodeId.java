package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a node, the proxy process beside one target host.
 *
 * <p>Invariant: the value is a well-formed name as defined by {@link Names}. Immutable and thread safe.
 */
public record NodeId(@JsonValue String value) implements Comparable<NodeId> {

    /** Throws {@link IllegalArgumentException} if the value is not a well-formed name. */
    public NodeId {
        Names.check(value, "node id");
    }

    /**
     * Returns the node id with the given value.
     *
     * @throws IllegalArgumentException when the value is not a well-formed name
     */
    @JsonCreator
    public static NodeId of(String value) {
        return new NodeId(value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    // Written out: the generated methods go through method handles, which are slow until they are compiled.

    @Override
    public boolean equals(Object other) {
        return this == other || (other instanceof NodeId that && value.equals(that.value));
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
