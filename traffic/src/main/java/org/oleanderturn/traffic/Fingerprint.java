package org.oleanderturn.traffic;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.ServiceName;

/**
 * Identifies requests that are the same to a target. Immutable and thread safe.
 *
 * @param value 32 hexadecimal digits, in lower case if computed by a node
 */
public record Fingerprint(@JsonValue String value) {
    private static final int BYTES = 16;
    private static final HexFormat HEX = HexFormat.of();

    /** Throws {@link IllegalArgumentException} if the value does not consist of 32 hexadecimal digits. */
    public Fingerprint {
        Objects.requireNonNull(value, "value is null");
        if (value.length() != 2 * BYTES || !value.chars().allMatch(HexFormat::isHexDigit)) {
            throw new IllegalArgumentException("not a fingerprint: " + value);
        }
    }

    /**
     * Returns the fingerprint with the given digits.
     *
     * @throws IllegalArgumentException if the value does not consist of 32 hexadecimal digits
     */
    @JsonCreator
    public static Fingerprint of(String value) {
        return new Fingerprint(value);
    }

    /**
     * Computes the fingerprint of a request from what its target is sent, without what differs between attempts. The route
     * and the service are left out, as they change with the configuration.
     *
     * @param host the virtual host without a port; its case makes no difference
     * @param path the path and query
     */
    public static Fingerprint ofRequest(String method, String host, String path, RequestSender sender, byte[] body) {
        MessageDigest digest = sha256();
        // None of these may contain a zero, so that the parts can't run into each other.
        String service = sender.service().map(ServiceName::value).orElse("");
        String organisation = sender.organisation().map(OrganisationName::value).orElse("");
        for (String part : List.of(method, host.toLowerCase(Locale.ROOT), path, service, organisation)) {
            digest.update(part.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
        }
        return new Fingerprint(HEX.formatHex(digest.digest(body), 0, BYTES));
    }

    @Override
    public String toString() {
        return value;
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException cause) {
            throw new IllegalStateException("this Java runtime has no SHA-256", cause);
        }
    }
}
