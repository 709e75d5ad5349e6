package org.oleanderturn.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates loopback ports that nothing listens on, below the range that the system uses for outgoing connections.
 *
 * <p>Invariant: no port is returned again before all others were tried. Another process may still take a port before its
 * caller binds it. Thread safe.
 */
final class BenchPorts {
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 9_000;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

    private BenchPorts() {}

    static int nextFree() {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + NEXT_OFFSET.getAndIncrement() % PORT_COUNT;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no free loopback port in the benchmark's port range");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
