package org.oleanderturn.model;

import java.util.Objects;

/**
 * Syntax of names: 1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit.
 *
 * <p>Stateless and thread safe.
 */
public final class Names {
    private static final int MAXIMUM_LENGTH = 63;
    private static final String PUNCTUATION = "._-";

    private Names() {}

    /** Returns whether the value is a well-formed name. */
    public static boolean isWellFormed(String value) {
        if (value.isEmpty() || value.length() > MAXIMUM_LENGTH || !isLetterOrDigit(value.charAt(0))) {
            return false;
        }
        for (int index = 1; index < value.length(); index++) {
            if (!isLetterOrDigit(value.charAt(index)) && PUNCTUATION.indexOf(value.charAt(index)) < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetterOrDigit(char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
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
