package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * The version of a target's software, as the target itself states it; versions have no order.
 *
 * <p>Invariant: 1 to 128 characters, none of which is a control character. Immutable and thread safe.
 */
public record SoftwareVersion(@JsonValue String value) {
    /** Bounds what one target adds to the records that all nodes exchange. */
    public static final int MAXIMUM_CHARACTERS = 128;

    /** Throws {@link IllegalArgumentException} if the value is not well-formed. */
    public SoftwareVersion {
        Objects.requireNonNull(value, "value is null");
        if (!isWellFormed(value)) {
            throw new IllegalArgumentException("not a software version: " + value.length() + " characters");
        }
    }

    /** Returns the version with the given value; a malformed one is an {@link IllegalArgumentException}. */
    @JsonCreator
    public static SoftwareVersion of(String value) {
        return new SoftwareVersion(value);
    }

    /** Returns whether a text can be a version. */
    public static boolean isWellFormed(String value) {
        return !value.isEmpty()
                && value.length() <= MAXIMUM_CHARACTERS
                && value.chars().noneMatch(Character::isISOControl);
    }

    @Override
    public String toString() {
        return value;
    }
}
