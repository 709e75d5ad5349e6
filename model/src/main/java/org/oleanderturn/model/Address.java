package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * An IP address and a TCP port.
 *
 * <p>Invariant: the host is not empty and the port is between 1 and 65,535. Immutable and thread safe.
 */
public record Address(String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    /** Throws {@link IllegalArgumentException} if the host is empty or the port is out of range. */
    public Address {
        Objects.requireNonNull(host, "host is null");
        if (host.isEmpty()) {
            throw new IllegalArgumentException("host is empty");
        }
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port is out of range: " + port);
        }
    }

    /** Returns the address with the given host and port, which must be between 1 and 65,535. */
    public static Address of(String host, int port) {
        return new Address(host, port);
    }

    /**
     * Parses {@code host:port}.
     *
     * @throws IllegalArgumentException when the text has another form or the port is out of range
     */
    @JsonCreator
    public static Address parse(String text) {
        Objects.requireNonNull(text, "text is null");
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("address is not host:port: " + text);
        }
        return new Address(text.substring(0, colon), parsePort(text, colon));
    }

    private static int parsePort(String text, int colon) {
        try {
            return Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException cause) {
            throw new IllegalArgumentException("address is not host:port: " + text, cause);
        }
    }

    @JsonValue
    @Override
    public String toString() {
        return host + ":" + port;
    }

    // Written out: the generated methods go through method handles, which are slow until they are compiled.

    @Override
    public boolean equals(Object other) {
        return this == other || (other instanceof Address that && host.equals(that.host) && port == that.port);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }
}
