package org.oleanderturn.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Gives out loopback ports that nothing listens on, below those that the system gives to outgoing connections.
 *
 * <p>Invariant: no port is given out twice until all have been. Thread safe.
 */
final class BenchPorts {
    private static final int FIRST = 10_000;
    private static final int COUNT = 9_000;
    private static final AtomicInteger TAKEN =
            new AtomicInteger((int) (ProcessHandle.current().pid() % COUNT));

    private BenchPorts() {}

    static int next() {
        for (int attempt = 0; attempt < COUNT; attempt++) {
            int port = FIRST + TAKEN.getAndIncrement() % COUNT;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no port is free");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
