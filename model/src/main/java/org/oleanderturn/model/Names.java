package org.oleanderturn.model;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Syntax of names: 1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit.
 *
 * <p>Stateless and thread safe.
 */
public final class Names {
    private static final Pattern WELL_FORMED = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private Names() {}

    /** Returns whether the value is a well-formed name. */
    public static boolean isWellFormed(String value) {
        return WELL_FORMED.matcher(value).matches();
    }

    /**
     * Checks that a value is a well-formed name.
     *
     * @param what the kind of name, for the error message
     * @throws IllegalArgumentException when the value is not a well-formed name
     */
    static void check(String value, String what) {
        Objects.requireNonNull(value, what + " is null");
        if (!isWellFormed(value)) {
            throw new IllegalArgumentException(what + " is not a well-formed name: " + value);
        }
    }
}
