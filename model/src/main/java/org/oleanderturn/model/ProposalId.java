package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a proposal. The operator chooses it and must not reuse it for another change.
 *
 * <p>Invariant: the value is a well-formed name as defined by {@link Names}. Immutable and thread safe.
 */
public record ProposalId(@JsonValue String value) implements Comparable<ProposalId> {

    /** Throws {@link IllegalArgumentException} if the value is not a well-formed name. */
    public ProposalId {
        Names.check(value, "proposal id");
    }

    /**
     * Returns the proposal id with the given value.
     *
     * @throws IllegalArgumentException when the value is not a well-formed name
     */
    @JsonCreator
    public static ProposalId of(String value) {
        return new ProposalId(value);
    }

    @Override
    public int compareTo(ProposalId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
