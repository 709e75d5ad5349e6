package org.oleanderturn.wire;

import java.util.Objects;
import org.oleanderturn.model.Address;

/**
 * The address on which a server listens.
 *
 * <p>Invariant: the port is between 0 and 65,535; 0 selects any free port. Immutable and thread safe.
 */
public record ListenAddress(String host, int port) {
    private static final int HIGHEST_PORT = 65_535;

    /** Throws an {@link IllegalArgumentException} if the port is out of range. */
    public ListenAddress {
        Objects.requireNonNull(host, "host is null");
        if (port < 0 || port > HIGHEST_PORT) {
            throw new IllegalArgumentException("port is out of range: " + port);
        }
    }

    /** Returns the listen address with the given host and port. */
    public static ListenAddress of(String host, int port) {
        return new ListenAddress(host, port);
    }

    /** Returns the listen address with the host and port of the given address. */
    public static ListenAddress of(Address address) {
        Objects.requireNonNull(address, "address is null");
        return new ListenAddress(address.host(), address.port());
    }
}
