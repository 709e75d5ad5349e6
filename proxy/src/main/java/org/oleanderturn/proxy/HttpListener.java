package org.oleanderturn.proxy;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.oleanderturn.model.Address;
import org.oleanderturn.traffic.CoreLag;

/**
 * An HTTP/1.1 server with one accept loop and one virtual thread per connection, and one for each request that runs
 * concurrently with an earlier one of its connection.
 *
 * <p>Invariants: after {@link #disableKeepAlive} every response behind which no request of its connection was started
 * carries {@code Connection: close}, and no request is started behind another; once {@link #drain}
 * has begun, no connection is accepted, and no connection is closed while a request on it is being served or has
 * arrived. Thread safe.
 */
public final class HttpListener implements AutoCloseable {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final long ACCEPT_LOOP_STOP_TIMEOUT_SECONDS = 1;
    private static final long DRAIN_POLL_MILLISECONDS = 10;
    private static final int MARKER_TIMEOUT_MILLISECONDS = 300;

    /** No port of a connection. */
    private static final int NO_PORT = -1;

    /**
     * How often connections are checked for a disconnect. Work at two nodes and a target must end within half a second of a
     * disconnect, so the period is shorter than a quarter of that.
     */
    private static final Duration WATCH_PERIOD = Duration.ofMillis(100);

    private final ServerSocketChannel server;
    private final Address address;
    private final ConnectionServer connectionServer;
    private final ListenerLimits limits;
    private final ExecutorService executor;
    private final CoreLag lag = CoreLag.of(System::nanoTime);
    private final Set<ServerConnection> connections;
    private final CountDownLatch acceptLoopEnded = new CountDownLatch(1);
    private final CountDownLatch markerAccepted = new CountDownLatch(1);
    private volatile int markerPort = NO_PORT;
    private final AtomicInteger openConnections = new AtomicInteger();
    private volatile boolean isClosed;
    private final AtomicBoolean isDraining = new AtomicBoolean();

    private HttpListener(
            ServerSocketChannel server,
            Address address,
            ExecutorService executor,
            RequestHandler handler,
            ListenerLimits limits,
            Supplier<BodyReservation> reservations) {
        this.server = server;
        this.address = address;
        this.executor = executor;
        this.limits = limits;
        this.connectionServer = new ConnectionServer(
                RequestHandlerAdapter.of(handler, isDraining::get, lag::current, reservations),
                limits,
                executor,
                isDraining::get,
                reservations);
        this.connections = connectionServer.connections();
    }

    /**
     * Binds a socket and starts to accept connections.
     *
     * @param host the IP address to bind
     * @param port the port to bind; 0 selects a free port
     */
    public static Either<ListenerFailure, HttpListener> start(
            String host, int port, RequestHandler handler, ListenerLimits limits) {
        return start(host, port, handler, limits, BodyReservation::unlimited);
    }

    /**
     * Binds a socket and starts to accept connections.
     *
     * @param budget what the responses to all requests of the listener are reserved from
     */
    public static Either<ListenerFailure, HttpListener> start(
            String host, int port, RequestHandler handler, ListenerLimits limits, BodyMemoryBudget budget) {
        Objects.requireNonNull(budget, "budget is null");
        return start(host, port, handler, limits, () -> BodyReservation.of(budget));
    }

    private static Either<ListenerFailure, HttpListener> start(
            String host,
            int port,
            RequestHandler handler,
            ListenerLimits limits,
            Supplier<BodyReservation> reservations) {
        Objects.requireNonNull(handler, "handler is null");
        Objects.requireNonNull(limits, "limits is null");
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        ServerSocketChannel server = null;
        Address address;
        try {
            server = ServerSocketChannel.open();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(new InetSocketAddress(host, port), ACCEPT_BACKLOG);
            address = Address.of(host, server.socket().getLocalPort());
        } catch (IOException cause) {
            IoUtilities.closeQuietly(server);
            executor.shutdown();
            return Either.left(new ListenerFailure.BindFailed(host + ":" + port, String.valueOf(cause.getMessage())));
        }
        HttpListener listener = new HttpListener(server, address, executor, handler, limits, reservations);
        listener.executor.execute(listener::runAcceptLoop);
        listener.executor.execute(listener::runWatchLoop);
        return Either.right(listener);
    }

    // -- queries

    /** Returns the bound address. */
    public Address address() {
        return address;
    }

    /** Returns the number of requests that are being served or have arrived and not yet been read. */
    public int inFlight() {
        int total = 0;
        for (ServerConnection connection : connections) {
            total += connection.inFlight();
        }
        return total;
    }

    /** Returns the number of requests so far that were started while another of their connection was in service. */
    public long pipelinedRequests() {
        return connectionServer.pipelinedRequests();
    }

    // -- commands

    /**
     * Sends {@code Connection: close} with the last response to what was started on each connection, so that clients
     * reconnect elsewhere; still accepts.
     */
    public void disableKeepAlive() {
        isDraining.set(true);
    }

    /**
     * Stops accepting connections, waits for the requests in flight to finish, and closes the listener.
     *
     * @param timeout the maximum time to wait; connections that are still open then are aborted
     * @return whether all requests in flight finished in time
     */
    public boolean drain(Duration timeout) {
        isDraining.set(true);
        awaitAcceptQueue();
        stopAccepting();
        long deadlineNanoseconds = System.nanoTime() + timeout.toNanos();
        connections.forEach(ServerConnection::closeIfIdle);
        while (openConnections.get() > 0 && System.nanoTime() < deadlineNanoseconds) {
            if (!IoUtilities.sleep(DRAIN_POLL_MILLISECONDS)) {
                break;
            }
            connections.forEach(ServerConnection::closeIfIdle);
        }
        boolean isFinished = openConnections.get() == 0;
        close();
        return isFinished;
    }

    @Override
    public void close() {
        isClosed = true;
        isDraining.set(true);
        stopAccepting();
        connections.forEach(ServerConnection::abort);
        executor.shutdown();
    }

    // -- connections

    /**
     * Closes the listening socket and waits for the accept loop to end, since a pending accept keeps the socket open.
     */
    private void stopAccepting() {
        IoUtilities.closeQuietly(server);
        var _ = IoUtilities.await(acceptLoopEnded, ACCEPT_LOOP_STOP_TIMEOUT_SECONDS);
    }

    /**
     * Waits until the accept loop has taken every connection that the kernel has established so far, as those that are
     * queued when the socket is closed are reset. A connection of the listener's own, the last in the queue, marks its end.
     */
    private void awaitAcceptQueue() {
        try (SocketChannel marker = SocketChannel.open()) {
            marker.bind(null);
            markerPort = ((InetSocketAddress) marker.getLocalAddress()).getPort();
            marker.socket().connect(server.getLocalAddress(), MARKER_TIMEOUT_MILLISECONDS);
            if (!markerAccepted.await(MARKER_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)) {
                log.atWarning().log("the accept queue was not emptied in time");
            }
        } catch (IOException cause) {
            log.atWarning().withCause(cause).log("the accept queue may not have been emptied");
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isMarker(SocketChannel accepted) throws IOException {
        return accepted.getRemoteAddress() instanceof InetSocketAddress peer
                && peer.getPort() == markerPort
                && peer.getAddress().equals(accepted.socket().getLocalAddress());
    }

    private void runAcceptLoop() {
        try {
            acceptUntilClosed();
        } finally {
            acceptLoopEnded.countDown();
        }
    }

    /** Checks connections for a disconnect, and measures how late the core runs this. */
    private void runWatchLoop() {
        lag.recordWait(WATCH_PERIOD);
        while (!isClosed && IoUtilities.sleep(WATCH_PERIOD.toMillis())) {
            lag.recordWake();
            long now = System.nanoTime();
            connections.forEach(connection -> checkPeerSafely(connection, now));
            lag.recordWait(WATCH_PERIOD);
        }
    }

    /** Keeps the loop going for the other connections when the action for a peer that left fails. */
    private void checkPeerSafely(ServerConnection connection, long now) {
        try {
            connection.checkPeer(now);
        } catch (RuntimeException | Error defect) {
            log.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(defect).log("check of a connection failed");
        }
    }

    private void acceptUntilClosed() {
        while (server.isOpen()) {
            try {
                SocketChannel accepted = server.accept();
                if (isMarker(accepted)) {
                    IoUtilities.closeQuietly(accepted);
                    markerAccepted.countDown();
                } else {
                    startServing(accepted);
                }
            } catch (IOException | RuntimeException | Error cause) {
                if (!server.isOpen()) {
                    return;
                }
                // Without this loop the process would run on and serve nobody.
                log.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log("accept failed");
                IoUtilities.sleep(DRAIN_POLL_MILLISECONDS);
            }
        }
    }

    private void startServing(SocketChannel channel) {
        if (openConnections.incrementAndGet() > limits.maximumConnections()) {
            openConnections.decrementAndGet();
            IoUtilities.closeQuietly(channel);
            return;
        }
        try {
            executor.execute(() -> serveConnection(channel));
        } catch (RejectedExecutionException executorClosed) {
            openConnections.decrementAndGet();
            IoUtilities.closeQuietly(channel);
        }
    }

    private void serveConnection(SocketChannel channel) {
        try {
            connectionServer.serve(channel);
        } catch (IOException cause) {
            log.atFine().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log("connection failed");
        } finally {
            IoUtilities.closeQuietly(channel);
            openConnections.decrementAndGet();
        }
    }
}
