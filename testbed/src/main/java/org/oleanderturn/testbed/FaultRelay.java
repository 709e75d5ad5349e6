package org.oleanderturn.testbed;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.oleanderturn.model.Address;

/**
 * Passes TCP connections on to one address and shows faults on request.
 *
 * <p>Invariant: while it is cut no connection is open and none is accepted. Each direction of a connection has a virtual
 * thread. Thread safe; one lock guards the mode.
 */
public final class FaultRelay implements AutoCloseable {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final int BUFFER_BYTES = 16_384;
    private static final int BACKLOG_CONNECTIONS = 256;

    private final Address upstream;
    private final InetSocketAddress bound;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Object lock = new Object();
    private FaultRelayMode mode = new FaultRelayMode.Healed();
    private ServerSocket listener;
    private boolean isClosed;

    private FaultRelay(Address upstream, ServerSocket listener) {
        this.upstream = upstream;
        this.listener = listener;
        this.bound = (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /**
     * Starts a relay on a loopback port; 0 takes a free one.
     *
     * @throws IOException when the port can't be listened on
     */
    public static FaultRelay start(int port, Address upstream) throws IOException {
        Objects.requireNonNull(upstream, "upstream is null");
        InetSocketAddress wanted = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        FaultRelay relay = new FaultRelay(upstream, listen(wanted));
        relay.acceptFrom(relay.listener);
        return relay;
    }

    // -- queries

    /** Returns the port that it listens on. */
    public int port() {
        return bound.getPort();
    }

    /** Returns what it does now. */
    public FaultRelayMode mode() {
        synchronized (lock) {
            return mode;
        }
    }

    // -- commands

    /**
     * Changes what it does, from now on and for connections that are open.
     *
     * @throws IOException when it was cut and its port can't be listened on any more
     */
    public void setMode(FaultRelayMode next) throws IOException {
        Objects.requireNonNull(next, "next is null");
        synchronized (lock) {
            mode = next;
            lock.notifyAll();
            if (next instanceof FaultRelayMode.Cut) {
                closeAll();
                return;
            }
            if (listener.isClosed() && !isClosed) {
                listener = listen(bound);
                acceptFrom(listener);
            }
        }
    }

    @Override
    public void close() {
        synchronized (lock) {
            isClosed = true;
            mode = new FaultRelayMode.Cut();
            lock.notifyAll();
            closeAll();
        }
        executor.shutdownNow();
    }

    private void closeAll() {
        closeQuietly(listener);
        sockets.forEach(FaultRelay::closeQuietly);
    }

    // -- connections

    private static ServerSocket listen(InetSocketAddress address) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address, BACKLOG_CONNECTIONS);
        return socket;
    }

    private void acceptFrom(ServerSocket accepting) {
        executor.execute(() -> {
            while (!accepting.isClosed()) {
                try {
                    Socket caller = accepting.accept();
                    executor.execute(() -> pass(caller));
                } catch (IOException cause) {
                    log.atFine().withCause(cause).log("accept ended");
                }
            }
        });
    }

    private void pass(Socket caller) {
        Socket target = new Socket();
        if (!admit(caller, target)) {
            return;
        }
        try {
            target.connect(new InetSocketAddress(upstream.host(), upstream.port()), CONNECT_TIMEOUT_MILLISECONDS);
            caller.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            executor.execute(() -> copy(target, caller));
            copy(caller, target);
        } catch (IOException cause) {
            end(caller, target);
        }
    }

    private boolean admit(Socket caller, Socket target) {
        synchronized (lock) {
            if (mode instanceof FaultRelayMode.Cut) {
                closeQuietly(caller);
                return false;
            }
            sockets.add(caller);
            sockets.add(target);
            return true;
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                awaitPassage();
                output.write(buffer, 0, count);
            }
            awaitPassage();
            to.shutdownOutput();
        } catch (IOException cause) {
            end(from, to);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            end(from, to);
        }
        if (from.isOutputShutdown() || to.isInputShutdown()) {
            end(from, to);
        }
    }

    private void awaitPassage() throws InterruptedException {
        long delayMilliseconds = 0;
        synchronized (lock) {
            while (mode instanceof FaultRelayMode.Frozen) {
                lock.wait();
            }
            if (mode instanceof FaultRelayMode.Delayed delayed) {
                delayMilliseconds = delayed.milliseconds();
            }
        }
        Thread.sleep(delayMilliseconds);
    }

    private void end(Socket caller, Socket target) {
        sockets.remove(caller);
        sockets.remove(target);
        closeQuietly(caller);
        closeQuietly(target);
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception cause) {
            log.atFine().withCause(cause).log("close failed");
        }
    }
}
