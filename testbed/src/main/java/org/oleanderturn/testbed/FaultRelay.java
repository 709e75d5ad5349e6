package org.oleanderturn.testbed;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.oleanderturn.model.Address;

/**
 * Forwards TCP connections to one upstream address and injects faults on request.
 *
 * <p>Invariant: while the relay is cut, no connection is open and none is accepted. Each direction of a connection has a
 * virtual thread. Thread safe; one lock guards the mode.
 */
public final class FaultRelay implements AutoCloseable {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final int BUFFER_BYTES = 16_384;
    private static final int BACKLOG_CONNECTIONS = 256;
    private static final int STOP_TIMEOUT_MILLISECONDS = 10_000;

    private final Address upstream;
    private final InetSocketAddress listenAddress;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Object lock = new Object();
    private FaultRelayMode mode = new FaultRelayMode.Healed();
    private ServerSocket listener;
    private Future<?> accepting = CompletableFuture.completedFuture(null);
    private boolean isClosed;

    private FaultRelay(Address upstream, ServerSocket listener) {
        this.upstream = upstream;
        this.listener = listener;
        this.listenAddress = (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /**
     * Starts a relay on a loopback port; 0 selects a free port.
     *
     * @throws IOException when the port can't be bound
     */
    public static FaultRelay start(int port, Address upstream) throws IOException {
        Objects.requireNonNull(upstream, "upstream is null");
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        FaultRelay relay = new FaultRelay(upstream, listen(address));
        relay.startAccepting(relay.listener);
        return relay;
    }

    // -- queries

    /** Returns the port that the relay listens on. */
    public int port() {
        return listenAddress.getPort();
    }

    /** Returns the current mode. */
    public FaultRelayMode mode() {
        synchronized (lock) {
            return mode;
        }
    }

    // -- commands

    /**
     * Changes the mode, for open connections too, before it returns.
     *
     * @throws IOException when the relay was cut and its port can't be bound again, or when it can't be cut within 10 s
     */
    public void setMode(FaultRelayMode next) throws IOException {
        Objects.requireNonNull(next, "next is null");
        synchronized (lock) {
            mode = next;
            lock.notifyAll();
            if (next instanceof FaultRelayMode.Cut) {
                closeAll();
                awaitStopOfAccepting();
                return;
            }
            if (listener.isClosed() && !isClosed) {
                listener = listen(listenAddress);
                startAccepting(listener);
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

    /**
     * Waits for the accepting thread. A socket that a virtual thread accepts from is closed by that thread, so the port
     * accepts connections until it has run.
     */
    private void awaitStopOfAccepting() throws IOException {
        try {
            accepting.get(STOP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while the relay stopped accepting");
        } catch (ExecutionException | TimeoutException cause) {
            throw new IOException("relay didn't stop accepting", cause);
        }
    }

    // -- connections

    private static ServerSocket listen(InetSocketAddress address) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address, BACKLOG_CONNECTIONS);
        return socket;
    }

    private void startAccepting(ServerSocket serverSocket) {
        accepting = executor.submit(() -> {
            while (!serverSocket.isClosed()) {
                try {
                    Socket caller = serverSocket.accept();
                    executor.execute(() -> forward(caller));
                } catch (IOException cause) {
                    log.atFine().withCause(cause).log("relay stopped accepting");
                }
            }
        });
    }

    private void forward(Socket caller) {
        Socket upstreamSocket = new Socket();
        if (!register(caller, upstreamSocket)) {
            return;
        }
        try {
            upstreamSocket.connect(
                    new InetSocketAddress(upstream.host(), upstream.port()), CONNECT_TIMEOUT_MILLISECONDS);
            caller.setTcpNoDelay(true);
            upstreamSocket.setTcpNoDelay(true);
            executor.execute(() -> copy(upstreamSocket, caller));
            copy(caller, upstreamSocket);
        } catch (IOException cause) {
            closePair(caller, upstreamSocket);
        }
    }

    private boolean register(Socket caller, Socket upstreamSocket) {
        synchronized (lock) {
            if (mode instanceof FaultRelayMode.Cut) {
                closeQuietly(caller);
                return false;
            }
            sockets.add(caller);
            sockets.add(upstreamSocket);
            return true;
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                holdOrDelay();
                output.write(buffer, 0, count);
            }
            holdOrDelay();
            to.shutdownOutput();
        } catch (IOException cause) {
            closePair(from, to);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            closePair(from, to);
        }
        if (from.isOutputShutdown() || to.isInputShutdown()) {
            closePair(from, to);
        }
    }

    private void holdOrDelay() throws InterruptedException {
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

    private void closePair(Socket caller, Socket upstreamSocket) {
        sockets.remove(caller);
        sockets.remove(upstreamSocket);
        closeQuietly(caller);
        closeQuietly(upstreamSocket);
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception cause) {
            log.atFine().withCause(cause).log("relay failed to close a socket");
        }
    }
}
