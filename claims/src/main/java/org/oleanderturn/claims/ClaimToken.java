package org.oleanderturn.claims;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.HexFormat;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Tells one attempt to claim a key from every other; never used for a second attempt.
 *
 * <p>Immutable and thread safe.
 */
public record ClaimToken(@JsonValue String text) {
    private static final int TOKEN_BYTES = 16;

    /** Checks that the text is there. */
    public ClaimToken {
        Objects.requireNonNull(text, "text is null");
    }

    /** Returns the token with the given text. */
    @JsonCreator
    public static ClaimToken of(String text) {
        return new ClaimToken(text);
    }

    /** Draws a new token; the generator has to be one whose draws no other process repeats. */
    public static ClaimToken generate(RandomGenerator random) {
        byte[] bytes = new byte[TOKEN_BYTES];
        random.nextBytes(bytes);
        return new ClaimToken(HexFormat.of().formatHex(bytes));
    }
}
