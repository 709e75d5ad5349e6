package org.oleanderturn.distribution;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Names;
import org.oleanderturn.model.NodeId;

/**
 * What a relay's key in the platform's store says: which node it is and where it is reached.
 *
 * <p>Immutable and thread safe.
 */
public record RelayRegistration(NodeId node, Address controlAddress) {
    /** The start of every relay's key. */
    public static final String KEY_PREFIX = "relay/";

    private static final String SEPARATOR = " ";

    /** Checks that both parts are there. */
    public RelayRegistration {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(controlAddress, "controlAddress is null");
    }

    /** Reads a key's value; empty when it is malformed. */
    public static Optional<RelayRegistration> parse(byte[] value) {
        String[] parts = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        if (parts.length != 2 || !Names.isWellFormed(parts[0])) {
            return Optional.empty();
        }
        try {
            return Optional.of(new RelayRegistration(NodeId.of(parts[0]), Address.parse(parts[1])));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the key's value. */
    public byte[] encode() {
        return (node + SEPARATOR + controlAddress).getBytes(StandardCharsets.UTF_8);
    }
}
