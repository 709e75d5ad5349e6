package org.oleanderturn.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.model.Address;

/** Finds out whether a process listens at an address. Stateless and thread safe. */
final class ConnectionProbe {

    private ConnectionProbe() {}

    /** Returns whether a connection can be opened within the given time; blocks, and closes the connection at once. */
    static boolean isListening(Address address, Duration timeout) {
        Objects.requireNonNull(address, "address is null");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.host(), address.port()), Math.toIntExact(timeout.toMillis()));
            return true;
        } catch (IOException _) {
            return false;
        }
    }
}
