package org.oleanderturn.proxy;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Serves the connections that a listener has accepted.
 *
 * <p>Invariant: {@link #connections} holds every connection on which a request may be running. Thread safe.
 */
final class ConnectionServer {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final String SERVER_NAME = "oleanderturn";
    private static final int BUFFER_BYTES = 8_192;

    private final HttpService service;
    private final ListenerLimits limits;
    private final Http1Config httpSettings;
    private final Executor executor;
    private final BooleanSupplier isDraining;
    private final Supplier<BodyReservation> reservations;
    private final LongAdder pipelinedRequests = new LongAdder();
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();

    /**
     * Makes a server without connections.
     *
     * @param executor runs requests that arrived behind others
     */
    ConnectionServer(
            RequestHandlerAdapter handler,
            ListenerLimits limits,
            Executor executor,
            BooleanSupplier isDraining,
            Supplier<BodyReservation> reservations) {
        this.limits = Objects.requireNonNull(limits, "limits is null");
        this.executor = Objects.requireNonNull(executor, "executor is null");
        this.isDraining = Objects.requireNonNull(isDraining, "isDraining is null");
        this.reservations = Objects.requireNonNull(reservations, "reservations is null");
        this.httpSettings = Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setMaxLineLength(limits.maximumLineBytes())
                .setMaxHeaderCount(limits.maximumHeaders())
                .build();
        this.service = new HttpService(
                HttpProcessors.server(SERVER_NAME),
                handler,
                (_, _, context) -> ((ServerExchange) context.getAttribute(ServerExchange.ATTRIBUTE)).isKeptAlive(),
                null);
    }

    Set<ServerConnection> connections() {
        return connections;
    }

    /** Returns the number of requests that were started while another of their connection was in service. */
    long pipelinedRequests() {
        return pipelinedRequests.sum();
    }

    /** Serves a connection until it ends. */
    void serve(SocketChannel accepted) throws IOException {
        try (BodyReservation reservation = reservations.get()) {
            serve(AcceptedChannel.of(accepted, reservation));
        }
    }

    private void serve(AcceptedChannel channel) {
        WatchedConnection connection = WatchedConnection.of(httpSettings, channel);
        ServerConnection serverConnection = ServerConnection.of(channel, connection, limits);
        RequestPipeline pipeline = new RequestPipeline(
                connection, serverConnection, channel, service, executor, isDraining, pipelinedRequests::increment);
        serverConnection.setPipeline(pipeline);
        connections.add(serverConnection);
        try {
            connection.bind();
            connection.setSocketTimeout(Timeout.of(limits.idleTimeout()));
            pipeline.serve();
        } catch (ConnectionClosedException cause) {
            log.atFinest().withCause(cause).log("connection closed");
        } catch (IOException | HttpException cause) {
            log.atFine().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log("connection failed");
        } finally {
            connections.remove(serverConnection);
            connection.close(CloseMode.IMMEDIATE);
        }
    }
}
