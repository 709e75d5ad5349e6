package org.oleanderturn.testbed;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnectionFactory;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;

/**
 * A stand-in for the platform's store: serves HTTP on loopback, keeps its content in memory and injects faults on
 * request.
 *
 * <p>Invariant: during an outage no connection is open and new ones are refused. Each connection has a virtual thread.
 * Thread safe.
 */
public final class StoreStandIn implements AutoCloseable {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final String FAULTS_PATH = "/admin/faults";
    private static final String COUNTS_PATH = "/admin/counts";
    private static final long OUTAGE_START_DELAY_MILLISECONDS = 50;
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    private final StoreStandInSettings settings;
    private final InetSocketAddress listenAddress;
    private final StoreStandInMemory memory;
    private final StoreStandInHandler handler;
    private final HttpService service;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicReference<ServerSocket> listener;
    private final AtomicReference<StoreStandInFaults> faults = new AtomicReference<>(StoreStandInFaults.none());
    private final AtomicBoolean isClosed = new AtomicBoolean();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Map<String, LongAdder> calls = new ConcurrentHashMap<>();
    private final LongAdder refused = new LongAdder();
    private final AtomicLong currentSecond = new AtomicLong();
    private final AtomicLong callsInSecond = new AtomicLong();

    private StoreStandIn(ServerSocket listener, StoreStandInSettings settings) {
        this.settings = settings;
        this.listenAddress = (InetSocketAddress) listener.getLocalSocketAddress();
        this.listener = new AtomicReference<>(listener);
        this.memory = StoreStandInMemory.of(StoreStandIn::monotonicMilliseconds);
        this.handler = new StoreStandInHandler(memory);
        this.service = new HttpService(HttpProcessors.server(), (request, context) -> this::handle, null, null);
    }

    /**
     * Starts a stand-in on a loopback port.
     *
     * @param port the port; 0 for any free one
     * @throws UncheckedIOException when the port can't be bound
     */
    public static StoreStandIn start(int port, StoreStandInSettings settings) {
        Objects.requireNonNull(settings, "settings is null");
        try {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            StoreStandIn store = new StoreStandIn(listen(address), settings);
            store.startAccepting(store.listener.get());
            return store;
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    // -- queries

    /** Returns the address that the stand-in listens on. */
    public Address address() {
        return Address.of(listenAddress.getAddress().getHostAddress(), listenAddress.getPort());
    }

    /** Returns the counts since the start. */
    public StoreStandInCounts counts() {
        Map<String, Long> snapshot = new ConcurrentHashMap<>();
        calls.forEach((operation, count) -> snapshot.put(operation, count.sum()));
        return new StoreStandInCounts(snapshot, refused.sum(), memory.writes(), memory.writtenBytes());
    }

    // -- commands

    /** Replaces the injected faults; an outage begins at once. */
    public void setFaults(StoreStandInFaults newFaults) {
        Objects.requireNonNull(newFaults, "newFaults is null");
        faults.set(newFaults);
        if (newFaults.downMilliseconds() > 0) {
            startOutage();
            var _ = executor.submit(() -> endOutageAfter(newFaults.downMilliseconds()));
        }
    }

    /** Stops listening and closes every connection. */
    @Override
    public void close() {
        isClosed.set(true);
        startOutage();
        executor.shutdownNow();
    }

    // -- connections

    private static ServerSocket listen(InetSocketAddress address) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address);
        return socket;
    }

    private void startAccepting(ServerSocket socket) {
        var _ = executor.submit(() -> acceptLoop(socket));
    }

    private void acceptLoop(ServerSocket serverSocket) {
        while (!serverSocket.isClosed()) {
            try {
                Socket socket = serverSocket.accept();
                sockets.add(socket);
                var _ = executor.submit(() -> serve(serverSocket, socket));
            } catch (IOException cause) {
                log.atFine().withCause(cause).log("store stand-in stopped accepting");
            }
        }
    }

    private void serve(ServerSocket serverSocket, Socket socket) {
        try (socket;
                DefaultBHttpServerConnection connection =
                        DefaultBHttpServerConnectionFactory.builder().build().createConnection(socket)) {
            socket.setTcpNoDelay(true);
            while (connection.isOpen() && !serverSocket.isClosed()) {
                service.handleRequest(connection, HttpCoreContext.create());
            }
        } catch (IOException | HttpException cause) {
            log.atFine().withCause(cause).log("store stand-in closed a connection");
        } finally {
            sockets.remove(socket);
        }
    }

    private void startOutage() {
        closeQuietly(listener.get());
        sockets.forEach(StoreStandIn::closeQuietly);
    }

    private void endOutageAfter(long downMilliseconds) {
        pause(downMilliseconds);
        try {
            ServerSocket socket = listen(listenAddress);
            listener.set(socket);
            if (isClosed.get()) {
                closeQuietly(socket);
                return;
            }
            startAccepting(socket);
        } catch (IOException cause) {
            log.atSevere().withCause(cause).log("store stand-in failed to listen again after an outage");
        }
    }

    private static void closeQuietly(AutoCloseable socket) {
        try {
            socket.close();
        } catch (Exception cause) {
            log.atFine().withCause(cause).log("store stand-in failed to close a socket");
        }
    }

    // -- requests

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        if (request.getPath().equals(COUNTS_PATH)) {
            write(response, new StoreStandInHandler.Answer(HttpStatus.SC_OK, Optional.of(counts())));
            return;
        }
        if (request.getPath().equals(FAULTS_PATH)) {
            handleFaults(request, response);
            return;
        }
        handleCall(request, response);
    }

    private void handleFaults(ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
        try {
            StoreStandInFaults requested = StoreStandInHandler.decode(request, StoreStandInFaults.class);
            write(response, new StoreStandInHandler.Answer(HttpStatus.SC_OK, Optional.of(requested)));
            setFaultsAfterAnswer(requested);
        } catch (IllegalArgumentException malformed) {
            write(response, new StoreStandInHandler.Answer(HttpStatus.SC_BAD_REQUEST, Optional.empty()));
        }
    }

    /** Delays an outage briefly, as it would close the connection before the answer to its own request is sent. */
    private void setFaultsAfterAnswer(StoreStandInFaults requested) {
        if (requested.downMilliseconds() == 0) {
            setFaults(requested);
            return;
        }
        var _ = executor.submit(() -> {
            pause(OUTAGE_START_DELAY_MILLISECONDS);
            setFaults(requested);
        });
    }

    private void handleCall(ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
        try {
            StoreStandInHandler.Call call = handler.parse(request);
            calls.computeIfAbsent(call.operation(), operation -> new LongAdder())
                    .increment();
            if (isRateExceeded()) {
                refused.increment();
                response.setHeader(HttpHeaders.RETRY_AFTER, "1");
                write(response, new StoreStandInHandler.Answer(HttpStatus.SC_TOO_MANY_REQUESTS, Optional.empty()));
                return;
            }
            write(response, apply(call));
        } catch (IllegalArgumentException malformed) {
            write(response, new StoreStandInHandler.Answer(HttpStatus.SC_BAD_REQUEST, Optional.empty()));
        }
    }

    private StoreStandInHandler.Answer apply(StoreStandInHandler.Call call) throws IOException {
        StoreStandInFaults currentFaults = faults.get();
        pause(settings.answerDelay().toMillis() + currentFaults.delayMilliseconds());
        if (currentFaults.loseRequests()) {
            throw new IOException("injected fault: request lost");
        }
        StoreStandInHandler.Answer answer = call.effect().apply();
        if (currentFaults.loseAnswers()) {
            throw new IOException("injected fault: answer lost");
        }
        return answer;
    }

    private boolean isRateExceeded() {
        if (settings.callsPerSecond().isEmpty()) {
            return false;
        }
        long nowSeconds = monotonicMilliseconds() / MILLISECONDS_PER_SECOND;
        if (currentSecond.getAndSet(nowSeconds) != nowSeconds) {
            callsInSecond.set(0);
        }
        return callsInSecond.incrementAndGet() > settings.callsPerSecond().getAsInt();
    }

    private static void write(ClassicHttpResponse response, StoreStandInHandler.Answer answer) {
        response.setCode(answer.status());
        answer.body()
                .ifPresent(body -> response.setEntity(
                        new ByteArrayEntity(Codec.json().encode(body), ContentType.APPLICATION_JSON)));
    }

    private static void pause(long milliseconds) {
        if (milliseconds <= 0) {
            return;
        }
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static long monotonicMilliseconds() {
        return System.nanoTime() / NANOSECONDS_PER_MILLISECOND;
    }
}
