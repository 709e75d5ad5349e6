package org.oleanderturn.distribution;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Names;
import org.oleanderturn.model.NodeId;

/**
 * The value of a relay's key in the platform's store: the id of the node and the address of its control endpoint.
 *
 * <p>Immutable and thread safe.
 */
public record RelayRegistration(NodeId node, Address controlAddress) {
    /** The prefix of the keys of all relays. */
    public static final String KEY_PREFIX = "relay/";

    private static final String SEPARATOR = " ";

    /** Throws {@link NullPointerException} if a component is null. */
    public RelayRegistration {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(controlAddress, "controlAddress is null");
    }

    /** Parses the value of a key; empty when it is malformed. */
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

    /** Returns the value of the key: the id and the address in UTF-8, separated by a space. */
    public byte[] encode() {
        return (node + SEPARATOR + controlAddress).getBytes(StandardCharsets.UTF_8);
    }
}
