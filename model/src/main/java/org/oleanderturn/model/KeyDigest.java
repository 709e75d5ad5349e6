package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of an organisation's key, in hexadecimal. The key itself is never kept.
 *
 * <p>Invariants: 64 lower-case hexadecimal digits; the text form hides them; digests are compared in constant time. Immutable
 * and thread safe.
 */
public record KeyDigest(@JsonValue String hexadecimal) implements Comparable<KeyDigest> {
    /** 8 bytes, which two keys of an organisation don't share by chance. */
    private static final int PREFIX_DIGITS = 16;

    private static final Pattern FORMAT = Pattern.compile("[0-9a-f]{64}");

    /** Throws {@link IllegalArgumentException} if the text is not a digest; the message does not contain the text. */
    public KeyDigest {
        if (hexadecimal == null || !FORMAT.matcher(hexadecimal).matches()) {
            throw new IllegalArgumentException("key digest is not 64 lower-case hexadecimal digits");
        }
    }

    /** Returns the digest with the given hexadecimal text. */
    @JsonCreator
    public static KeyDigest of(String hexadecimal) {
        return new KeyDigest(hexadecimal);
    }

    /** Computes the digest of a key. */
    public static KeyDigest ofKey(String key) {
        return new KeyDigest(
                Digest.compute(key.getBytes(StandardCharsets.UTF_8)).hexadecimal());
    }

    /** Returns the first 8 bytes of the digest in hexadecimal, which tell the keys of one organisation apart. */
    public String prefix() {
        return hexadecimal.substring(0, PREFIX_DIGITS);
    }

    @Override
    public int compareTo(KeyDigest other) {
        return hexadecimal.compareTo(other.hexadecimal);
    }

    @Override
    public boolean equals(Object other) {
        return this == other
                || (other instanceof KeyDigest that
                        && MessageDigest.isEqual(
                                hexadecimal.getBytes(StandardCharsets.US_ASCII),
                                that.hexadecimal.getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    public int hashCode() {
        return hexadecimal.hashCode();
    }

    @Override
    public String toString() {
        return "KeyDigest[hidden]";
    }
}
