package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * The SHA-256 digest of a value's encoding, in hexadecimal.
 *
 * <p>Immutable and thread safe.
 */
public record Digest(@JsonValue String hexadecimal) {

    /** Throws {@link NullPointerException} if the text is null; its form is not checked. */
    public Digest {
        Objects.requireNonNull(hexadecimal, "hexadecimal is null");
    }

    /** Returns the digest with the given hexadecimal text, as received from another process. */
    @JsonCreator
    public static Digest of(String hexadecimal) {
        return new Digest(hexadecimal);
    }

    /** Computes the SHA-256 digest of the given bytes. */
    public static Digest compute(byte[] bytes) {
        return new Digest(HexFormat.of().formatHex(hash(bytes)));
    }

    /** Computes the SHA-256 digest of the given bytes and returns its 32 bytes. */
    public static byte[] hash(byte[] bytes) {
        Objects.requireNonNull(bytes, "bytes is null");
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException cause) {
            throw new IllegalStateException("SHA-256 is not available", cause);
        }
    }

    @Override
    public String toString() {
        return hexadecimal;
    }
}
