package org.oleanderturn.proxy;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/**
 * Serves the requests of one connection, those that have arrived behind another concurrently with it.
 *
 * <p>The thread of the connection reads and serves first requests. Followers are read only when their whole head has
 * arrived, so that reading them never waits, and run on threads of their own. Invariants: a request that may not run
 * concurrently is started when all before it have been answered; none is started once the end of the input was found, a
 * response has closed the connection, or input was dropped. Thread safe, but for {@link #serve}.
 */
final class RequestPipeline {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** A client that sends more ahead is served at this width; each request may hold an upstream connection. */
    static final int MAXIMUM_IN_SERVICE = 8;

    /**
     * How often a connection that has pipelined before is checked for further requests while it is busy. It is a small part
     * of the shortest target latency, 123 ms; each check wakes a thread and makes three system calls, which adds up on hosts
     * with a third of a core.
     */
    private static final long CHECK_PERIOD_MILLISECONDS = 20;

    private final WatchedConnection connection;
    private final ServerConnection serverConnection;
    private final AcceptedChannel channel;
    private final LookaheadInputStream input;
    private final HttpService service;
    private final Executor executor;
    private final BooleanSupplier isDraining;
    private final Runnable onFollower;
    private final ResponseOrder order = new ResponseOrder(MAXIMUM_IN_SERVICE);
    private final ReentrantLock parsing = new ReentrantLock();
    private final AtomicBoolean isChecking = new AtomicBoolean();
    private Optional<ReceivedRequest> held = Optional.empty();
    private volatile boolean hasPipelined;
    private long lastArrivalNanoseconds;

    /**
     * Makes the pipeline of a connection that is bound.
     *
     * @param onFollower is run when a request is started behind another
     */
    RequestPipeline(
            WatchedConnection connection,
            ServerConnection serverConnection,
            AcceptedChannel channel,
            HttpService service,
            Executor executor,
            BooleanSupplier isDraining,
            Runnable onFollower) {
        this.connection = Objects.requireNonNull(connection, "connection is null");
        this.serverConnection = Objects.requireNonNull(serverConnection, "serverConnection is null");
        this.channel = Objects.requireNonNull(channel, "channel is null");
        this.input = channel.input();
        this.service = Objects.requireNonNull(service, "service is null");
        this.executor = Objects.requireNonNull(executor, "executor is null");
        this.isDraining = Objects.requireNonNull(isDraining, "isDraining is null");
        this.onFollower = Objects.requireNonNull(onFollower, "onFollower is null");
    }

    // -- queries

    WatchedConnection connection() {
        return connection;
    }

    ServerConnection serverConnection() {
        return serverConnection;
    }

    /** Returns the number of requests that were started and are not answered. */
    int inService() {
        return order.inService();
    }

    // -- the thread of the connection

    /** Serves requests until the connection ends; returns or throws when none of them runs any more. */
    void serve() throws IOException, HttpException {
        try {
            while (connection.isOpen() && !order.isSealed()) {
                ServerExchange exchange = ServerExchange.first(this);
                run(exchange);
                order.awaitFollowers();
                finishRequests();
            }
            if (connection.isOpen()) {
                close();
            }
        } catch (IOException | HttpException | RuntimeException | Error cause) {
            if (cause instanceof IOException
                    && !serverConnection.isBusy()
                    && !(cause instanceof SocketTimeoutException)) {
                closeAfterUnreadableInput();
            }
            fail();
            throw cause;
        } finally {
            order.awaitFollowers();
        }
    }

    /** Closes the connection without a reset, which would discard responses to earlier requests that are on their way. */
    private void closeAfterUnreadableInput() {
        try {
            close();
        } catch (IOException failed) {
            log.atFinest().withCause(failed).log("the connection has failed before");
        }
    }

    private void run(ServerExchange exchange) throws IOException, HttpException {
        HttpCoreContext context = HttpCoreContext.create();
        context.setAttribute(ServerExchange.ATTRIBUTE, exchange);
        service.handleRequest(exchange, context);
        if (exchange.number().isPresent()) {
            order.finish(exchange.number().getAsLong());
            startArrived();
        }
    }

    /** Waits for a check that reads a further request, which would otherwise be forgotten. */
    private void finishRequests() {
        parsing.lock();
        try {
            serverConnection.finishRequest(held.isPresent());
        } finally {
            parsing.unlock();
        }
    }

    /** Reads a request while no other is in service; empty if the connection has ended. */
    Optional<ReceivedRequest> receiveFirst() throws IOException {
        parsing.lock();
        try {
            connection.putBackInput(lastArrivalNanoseconds);
            if (held.isEmpty()) {
                input.skipEmptyLines();
            }
            boolean hasWaited = held.isPresent() || input.arrivalNanoseconds().isPresent();
            if (input.hasOverflowed() || (hasWaited && input.hasEnded())) {
                throw new ConnectionClosedException("the peer left, or sent too much, before its request was begun");
            }
            if (held.isPresent()) {
                Optional<ReceivedRequest> first = held;
                held = Optional.empty();
                return first;
            }
        } finally {
            parsing.unlock();
        }
        return receive();
    }

    long startFirst() {
        return order.startFirst();
    }

    // -- reading

    private Optional<ReceivedRequest> receive() throws IOException {
        input.skipEmptyLines();
        OptionalLong arrival = input.arrivalNanoseconds();
        try {
            ClassicHttpRequest message = connection.receiveRequestHeader();
            if (message == null) {
                return Optional.empty();
            }
            lastArrivalNanoseconds = arrival.orElseGet(System::nanoTime);
            if (!ReceivedRequest.hasBody(message)) {
                connection.putBackInput(lastArrivalNanoseconds);
            }
            return Optional.of(new ReceivedRequest.Head(message, arrival));
        } catch (HttpException malformed) {
            return Optional.of(new ReceivedRequest.Malformed(malformed));
        }
    }

    /** Begins to run a request; lets others be started behind a first one that allows it. */
    void begin(ServerExchange exchange, ReceivedRequest request) throws IOException {
        if (serverConnection.isBusy()) {
            return;
        }
        serverConnection.beginRequest();
        if (request.mayRunConcurrently() && !request.closesConnection()) {
            order.allowFollowers();
            startArrived();
            checkOften();
        }
    }

    /** Reads what has arrived behind requests that others may run with, and starts what may be started. */
    void checkInput() {
        // Not behind a request with a body: what has arrived may belong to the body, and must not be dropped.
        if (order.hasRoom()) {
            readArrived();
            startArrived();
        }
    }

    private void readArrived() {
        if (serverConnection.hasUnreadInput()) {
            var _ = hasEnded();
        }
    }

    private boolean hasEnded() {
        if (!input.hasEnded()) {
            return false;
        }
        order.seal();
        return true;
    }

    /** Starts the requests that have arrived whole, as far as they may run concurrently with those in service. */
    void startArrived() {
        boolean isFurtherPossible = true;
        while (isFurtherPossible && order.hasRoom() && input.hasHeadAhead()) {
            // A request whose client has left must not run.
            isFurtherPossible = !isDraining.getAsBoolean() && !input.hasOverflowed() && !hasEnded() && startNext();
        }
    }

    /** Starts the next request if it may be started; returns whether another may be. */
    private boolean startNext() {
        parsing.lock();
        try {
            if (held.isPresent() || !order.hasRoom() || !input.hasHeadAhead()) {
                return false;
            }
            held = receiveArrived();
            if (held.isEmpty() || !held.get().mayRunConcurrently()) {
                return false;
            }
            OptionalLong number = order.tryStartFollower();
            if (number.isEmpty() || !(held.get() instanceof ReceivedRequest.Head head)) {
                return false;
            }
            held = Optional.empty();
            if (head.closesConnection()) {
                order.seal();
            }
            startFollower(ServerExchange.follower(this, head, number.getAsLong()), number.getAsLong());
            return true;
        } finally {
            parsing.unlock();
        }
    }

    private Optional<ReceivedRequest> receiveArrived() {
        try {
            return receive();
        } catch (IOException cause) {
            return Optional.of(new ReceivedRequest.Unreadable(cause));
        }
    }

    // -- followers

    private void startFollower(ServerExchange exchange, long number) {
        hasPipelined = true;
        onFollower.run();
        try {
            executor.execute(() -> runFollower(exchange, number));
        } catch (RejectedExecutionException executorClosed) {
            log.atFinest().withCause(executorClosed).log("the listener is closed");
            order.endFollower();
            fail();
        }
        checkOften();
    }

    private void runFollower(ServerExchange exchange, long number) {
        try {
            run(exchange);
        } catch (IOException | HttpException | RuntimeException | Error cause) {
            log.atFine().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log("pipelined request failed");
            failInTurn(number);
        } finally {
            order.endFollower();
        }
    }

    /** Fails the connection after the responses to earlier requests. */
    private void failInTurn(long number) {
        try {
            order.awaitTurn(number);
        } catch (ConnectionClosedException failed) {
            log.atFinest().withCause(failed).log("the connection has failed before");
        }
        fail();
    }

    /** Starts the thread that checks for further requests on a connection that has pipelined. */
    private void checkOften() {
        if (hasPipelined && isChecking.compareAndSet(false, true)) {
            try {
                executor.execute(this::checkWhileBusy);
            } catch (RejectedExecutionException executorClosed) {
                log.atFinest().withCause(executorClosed).log("the listener is closed");
            }
        }
    }

    private void checkWhileBusy() {
        while (order.inService() > 0 && !order.isSealed() && IoUtilities.sleep(CHECK_PERIOD_MILLISECONDS)) {
            checkInput();
        }
        isChecking.set(false);
        if (order.inService() > 0 && !order.isSealed()) {
            checkOften();
        }
    }

    // -- responses

    /**
     * Waits until the response may be written, and states in it whether the connection is closed behind it.
     *
     * @return whether it is
     */
    boolean prepareResponse(long number, ClassicHttpResponse response) throws IOException {
        order.awaitTurn(number);
        if (response.getCode() < HttpStatus.SC_SUCCESS) {
            return false;
        }
        boolean isWanted = !ConnectionReuse.isKeepAlive(response, isDraining.getAsBoolean());
        if (!isWanted) {
            // What is found later may have been sent because of the response, and has not waited for it.
            readArrived();
            startArrived();
        }
        boolean isClosing = order.closesAfter(number, isWanted || input.hasOverflowed());
        if (isClosing) {
            response.setHeader(HttpHeaders.CONNECTION, "close");
        } else if (isWanted) {
            response.removeHeaders(HttpHeaders.CONNECTION);
        }
        return isClosing;
    }

    void closeBehind(long number) throws IOException {
        if (order.closesAfter(number, true)) {
            close();
        } else {
            connection.flush();
        }
    }

    /** Closes the connection so that the peer gets all responses, also if it has sent requests that are not read. */
    private void close() throws IOException {
        if (hasPipelined || input.hasOverflowed() || serverConnection.hasUnreadInput()) {
            channel.markInputUnread();
        }
        connection.close();
    }

    /** Ends the connection without further responses, and cancels the requests that are running. */
    private void fail() {
        order.fail();
        serverConnection.abort();
        try {
            input.markEnded();
        } catch (RuntimeException defect) {
            log.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(defect).log("cancelling requests failed");
        }
    }
}
