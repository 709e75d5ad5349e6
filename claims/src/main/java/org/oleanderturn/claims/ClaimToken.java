package org.oleanderturn.claims;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.HexFormat;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Uniquely identifies one attempt to claim a key.
 *
 * <p>Immutable and thread safe.
 */
public record ClaimToken(@JsonValue String text) {
    private static final int TOKEN_BYTES = 16;

    /** Rejects a null text. */
    public ClaimToken {
        Objects.requireNonNull(text, "text is null");
    }

    /** Returns the token with the given text. */
    @JsonCreator
    public static ClaimToken of(String text) {
        return new ClaimToken(text);
    }

    /** Returns a new random token; the generator must not repeat values of another process. */
    public static ClaimToken generate(RandomGenerator random) {
        byte[] bytes = new byte[TOKEN_BYTES];
        random.nextBytes(bytes);
        return new ClaimToken(HexFormat.of().formatHex(bytes));
    }
}
