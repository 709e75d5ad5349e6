package org.oleanderturn.wire;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;

/**
 * Accepts connections and answers the requests on each of them sequentially.
 *
 * <p>Invariant: a malformed, oversize or stalled frame is answered with its {@link RefusalKind} and closes only its own
 * connection; the number of connections is limited. Thread safe.
 */
public final class FrameServer implements AutoCloseable {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int MAXIMUM_CONCURRENT_REFUSALS = 64;
    private static final long CLOSE_TIMEOUT_MILLISECONDS = 2_000;
    private static final int LOG_INTERVAL_SECONDS = 10;
    private static final int ACCEPT_PAUSE_MILLISECONDS = 20;

    private final ServerSocketChannel listener;
    private final Address address;
    private final FrameHandler handler;
    private final WireLimits limits;
    private final WireCounters counters = WireCounters.empty();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService deadlineExecutor = DeadlineExecutors.newExecutor("frame-server-deadlines");
    private final Set<FrameChannel> connections = ConcurrentHashMap.newKeySet();
    private final Semaphore connectionPermits;
    private final Semaphore refusalPermits = new Semaphore(MAXIMUM_CONCURRENT_REFUSALS);

    private FrameServer(ServerSocketChannel listener, Address address, FrameHandler handler, WireLimits limits) {
        this.listener = listener;
        this.address = address;
        this.handler = handler;
        this.limits = limits;
        this.connectionPermits = new Semaphore(limits.maximumConnections());
    }

    /**
     * Starts a server.
     *
     * @return the running server, or {@link WireFailure.BindFailed}
     */
    public static Either<WireFailure, FrameServer> start(
            ListenAddress listen, FrameHandler handler, WireLimits limits) {
        Objects.requireNonNull(listen, "listen is null");
        Objects.requireNonNull(handler, "handler is null");
        Objects.requireNonNull(limits, "limits is null");
        try {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(listen.host(), listen.port()));
            int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            FrameServer server = new FrameServer(listener, Address.of(listen.host(), port), handler, limits);
            server.executor.execute(server::acceptConnections);
            return Either.right(server);
        } catch (IOException | RuntimeException cause) {
            return Either.left(new WireFailure.BindFailed(listen, String.valueOf(cause.getMessage())));
        }
    }

    // -- queries

    /** Returns the address that the server listens on, with the actual port. */
    public Address address() {
        return address;
    }

    /** Returns the counters of bytes over all connections. */
    public WireCounters counters() {
        return counters;
    }

    /** Returns the current number of open connections. */
    public int connections() {
        return connections.size();
    }

    // -- accepting

    private void acceptConnections() {
        while (listener.isOpen()) {
            try {
                admit(listener.accept());
            } catch (ClosedChannelException cause) {
                return;
            } catch (IOException | RuntimeException | Error cause) {
                // Without this loop the process would run on and answer nobody.
                log.atWarning().withCause(cause).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                        "failed to accept a connection");
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(ACCEPT_PAUSE_MILLISECONDS);
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
        }
    }

    private void admit(SocketChannel accepted) throws IOException {
        FrameChannel connection = FrameChannel.of(accepted, deadlineExecutor);
        if (connectionPermits.tryAcquire()) {
            executor.execute(() -> serve(connection));
            return;
        }
        if (refusalPermits.tryAcquire()) {
            executor.execute(() -> refuseConnection(connection));
            return;
        }
        connection.close();
    }

    private void refuseConnection(FrameChannel connection) {
        try {
            refuse(connection, RefusalKind.BUSY);
        } finally {
            refusalPermits.release();
        }
    }

    // -- serving

    private void serve(FrameChannel connection) {
        connections.add(connection);
        try (connection) {
            boolean isUsable = true;
            while (isUsable && listener.isOpen()) {
                isUsable = serveNext(connection);
            }
        } finally {
            connections.remove(connection);
            connectionPermits.release();
        }
    }

    private boolean serveNext(FrameChannel connection) {
        return switch (connection.read(limits.idleTimeout(), limits.frameTimeout(), limits.maximumFrameBytes())) {
            case FrameReadResult.Complete complete -> handleRequest(connection, complete);
            case FrameReadResult.Closed result -> false;
            case FrameReadResult.Truncated result -> false;
            case FrameReadResult.IdleTimeout result -> false;
            case FrameReadResult.Stalled result -> refuse(connection, RefusalKind.STALLED);
            case FrameReadResult.Oversize result -> refuse(connection, RefusalKind.OVERSIZE);
            case FrameReadResult.Malformed result -> refuse(connection, RefusalKind.MALFORMED);
        };
    }

    private boolean handleRequest(FrameChannel connection, FrameReadResult.Complete complete) {
        counters.addReceived(complete.bytes());
        byte[] encoded;
        try {
            Frame answer = Objects.requireNonNull(handler.handle(complete.frame()), "answer is null");
            encoded = FrameChannel.encode(answer);
        } catch (RuntimeException cause) {
            log.atWarning().withCause(cause).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "request handler failed");
            return refuse(connection, RefusalKind.FAILED);
        }
        return write(connection, encoded);
    }

    private boolean write(FrameChannel connection, byte[] encoded) {
        try {
            connection.write(encoded, limits.frameTimeout());
            counters.addSent(encoded.length);
            return true;
        } catch (IOException cause) {
            return false;
        }
    }

    /** Answers with an error and closes the connection; always returns false, since it can no longer be used. */
    private boolean refuse(FrameChannel connection, RefusalKind kind) {
        Frame refusal = Frame.of(Frame.REFUSAL_KIND, Codec.messagePack().encode(kind));
        write(connection, FrameChannel.encode(refusal));
        connection.closeGracefully();
        return false;
    }

    /** Stops listening and closes all connections, including those with a request in progress. */
    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException cause) {
            log.atWarning().withCause(cause).log("failed to close the listening socket");
        }
        connections.forEach(FrameChannel::close);
        executor.shutdownNow();
        deadlineExecutor.shutdownNow();
        awaitHandlers();
    }

    /**
     * Waits until no thread holds a socket of this server, so that its port is free; gives up on handlers that don't
     * terminate in time.
     */
    private void awaitHandlers() {
        try {
            if (!executor.awaitTermination(CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)) {
                log.atWarning().log("a request handler is still running after close");
            }
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
