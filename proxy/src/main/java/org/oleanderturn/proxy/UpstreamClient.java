package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.LaxConnPool;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.oleanderturn.model.Address;

/**
 * Sends requests to other nodes and to targets over pooled connections.
 *
 * <p>Invariants: a request is sent at most once; a failure states whether the request can have run. Thread safe.
 */
public final class UpstreamClient implements UpstreamExchange {
    private static final int BUFFER_BYTES = 8_192;
    private static final TimeValue CONNECTION_TIME_TO_LIVE = TimeValue.ofMinutes(5);
    /** How long after its last use a connection may be reused without a stale check. */
    private static final Duration UNCHECKED_REUSE_WINDOW = Duration.ofMillis(500);

    /**
     * How long after its last use a target certainly keeps a connection open; targets state idle timeouts of 10 s or
     * more.
     */
    private static final Duration RECENT_USE_WINDOW = Duration.ofSeconds(3);

    /** A request that was given up earlier tells nothing about its connection. */
    private static final Duration SILENCE_LIMIT = Duration.ofMillis(500);

    private static final Http1Config HTTP_SETTINGS = Http1Config.custom()
            .setBufferSize(BUFFER_BYTES)
            .setMaxLineLength(BUFFER_BYTES)
            .setMaxHeaderCount(200)
            .build();

    /** How many responses to earlier requests are skipped before the connection is given up. */
    private static final int SKIPPED_RESPONSE_LIMIT = 3;

    /** How many bytes of their bodies are skipped before the connection is given up. */
    private static final long SKIPPED_BYTES_LIMIT = 4_000_000;

    private final LaxConnPool<Address, UpstreamConnection> pool;
    private final LongSupplier clockNanoseconds;

    private UpstreamClient(LaxConnPool<Address, UpstreamConnection> pool, LongSupplier clockNanoseconds) {
        this.pool = pool;
        this.clockNanoseconds = clockNanoseconds;
    }

    /**
     * Returns a client with an empty pool.
     *
     * @param connectionsPerPeer the maximum number of connections to one peer
     */
    public static UpstreamClient of(int connectionsPerPeer) {
        return of(connectionsPerPeer, System::nanoTime);
    }

    /** Returns a client with an empty pool that measures the time limits of exchanges by the given clock. */
    static UpstreamClient of(int connectionsPerPeer, LongSupplier clockNanoseconds) {
        Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        return new UpstreamClient(
                new LaxConnPool<>(connectionsPerPeer, CONNECTION_TIME_TO_LIVE, PoolReusePolicy.LIFO, null, null),
                clockNanoseconds);
    }

    // -- commands

    /** Sends a request and waits for the headers of its response. The caller must close the response. */
    public Either<UpstreamFailure, UpstreamResponse> send(
            Address peer, OutboundRequest request, Cancellation cancellation) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(cancellation, "cancellation is null");
        BasicClassicHttpRequest message = OutboundMessage.of(peer, request);
        return connect(peer, request, cancellation)
                .flatMap(connection -> exchange(
                        connection,
                        message,
                        request,
                        ResponseMatcher.framed(),
                        limits(request, BodyReservation.unlimited()),
                        cancellation))
                .peek(response -> response.removeReadLimits(request.responseTimeout()));
    }

    @Override
    public Either<UpstreamFailure, BufferedResponse> exchange(
            Address peer,
            OutboundRequest request,
            ResponseMatcher matcher,
            BodyAllowance allowance,
            Cancellation cancellation) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(matcher, "matcher is null");
        Objects.requireNonNull(cancellation, "cancellation is null");
        Objects.requireNonNull(allowance, "allowance is null");
        long startedNanoseconds = clockNanoseconds.getAsLong();
        return connect(peer, request, cancellation).flatMap(connection -> {
            Duration spent = Duration.ofNanos(clockNanoseconds.getAsLong() - startedNanoseconds);
            return exchangeWhole(peer, connection, request.after(spent), matcher, allowance, cancellation);
        });
    }

    private Either<UpstreamFailure, BufferedResponse> exchangeWhole(
            Address peer,
            LeasedConnection connection,
            OutboundRequest request,
            ResponseMatcher matcher,
            BodyAllowance allowance,
            Cancellation cancellation) {
        if (request.isExpired()) {
            connection.markResponseRead();
            connection.close();
            return Either.left(
                    new UpstreamFailure.NotSent(UpstreamFailure.Cause.NO_CONNECTION, "the time limit has passed"));
        }
        UpstreamConnection used = connection.connection();
        BasicClassicHttpRequest message = OutboundMessage.of(peer, request);
        long sentNanoseconds = System.nanoTime();
        try (ReceiveLimits limits = limits(request, allowance.reservation())) {
            return exchange(connection, message, request, matcher, limits, cancellation)
                    .flatMap(response -> bufferBody(response, allowance, cancellation))
                    .peekLeft(failure -> discardIfSilent(peer, used, sentNanoseconds, failure));
        }
    }

    private ReceiveLimits limits(OutboundRequest request, BodyReservation reservation) {
        return ReceiveLimits.startingNow(request.responseTimeout(), clockNanoseconds, reservation);
    }

    private static Either<UpstreamFailure, BufferedResponse> bufferBody(
            UpstreamResponse response, BodyAllowance allowance, Cancellation cancellation) {
        try (response) {
            byte[] body = response.readBody(allowance);
            return Either.right(new BufferedResponse(response.status(), response.headers(), body));
        } catch (IOException cause) {
            return Either.left(failureAfterSend(cause, cancellation));
        }
    }

    @Override
    public boolean isListening(Address address, Duration timeout) {
        return ConnectionProbe.isListening(address, timeout);
    }

    /** Closes connections that have been idle for the given time, and those past their time to live. */
    @Override
    public void closeIdleConnections(Duration idle) {
        pool.closeIdle(TimeValue.of(idle));
        pool.closeExpired();
    }

    @Override
    public void close() {
        pool.close(CloseMode.IMMEDIATE);
    }

    // -- connections

    private Either<UpstreamFailure, LeasedConnection> connect(
            Address peer, OutboundRequest request, Cancellation cancellation) {
        Timeout timeout = Timeout.of(request.connectTimeout());
        Future<PoolEntry<Address, UpstreamConnection>> lease = pool.lease(peer, null, timeout, null);
        cancellation.onCancel(() -> lease.cancel(true));
        try {
            PoolEntry<Address, UpstreamConnection> entry = lease.get(timeout.toMilliseconds(), TimeUnit.MILLISECONDS);
            return open(peer, entry, request, cancellation);
        } catch (CancellationException cause) {
            return Either.left(notSent(UpstreamFailure.Cause.CANCELLED, cause));
        } catch (TimeoutException cause) {
            lease.cancel(true);
            return Either.left(notSent(UpstreamFailure.Cause.NO_CONNECTION, cause));
        } catch (ExecutionException cause) {
            return Either.left(notSent(UpstreamFailure.Cause.FAILED, cause));
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            lease.cancel(true);
            return Either.left(notSent(UpstreamFailure.Cause.NO_CONNECTION, interrupt));
        }
    }

    private Either<UpstreamFailure, LeasedConnection> open(
            Address peer,
            PoolEntry<Address, UpstreamConnection> entry,
            OutboundRequest request,
            Cancellation cancellation) {
        LeasedConnection leased = LeasedConnection.of(pool, entry);
        try {
            if (entry.hasConnection()
                    && (isReuseForbidden(entry, request.sendPolicy()) || isStale(entry, request.sendPolicy()))) {
                entry.discardConnection(CloseMode.IMMEDIATE);
            }
            if (!entry.hasConnection()) {
                entry.assignConnection(
                        UpstreamConnection.connect(peer, request.connectTimeout(), HTTP_SETTINGS, cancellation));
            }
            entry.getConnection().markUsed();
            return Either.right(leased);
        } catch (ConnectException cause) {
            leased.close();
            return Either.left(notSent(UpstreamFailure.Cause.REFUSED, cause));
        } catch (IOException cause) {
            leased.close();
            UpstreamFailure.Cause reason =
                    cancellation.isCancelled() ? UpstreamFailure.Cause.CANCELLED : UpstreamFailure.Cause.FAILED;
            return Either.left(notSent(reason, cause));
        }
    }

    private static boolean isReuseForbidden(PoolEntry<Address, UpstreamConnection> entry, SendPolicy sendPolicy) {
        return switch (sendPolicy) {
            case POOLED, POOLED_UNCHECKED, EXPECT_CONTINUE -> false;
            case NEW_CONNECTION -> true;
            case RECENT_CONNECTION -> entry.getConnection().isIdleFor(RECENT_USE_WINDOW);
        };
    }

    /** Skips the check, which costs four system calls, for a recently used connection if the request may run twice. */
    private static boolean isStale(PoolEntry<Address, UpstreamConnection> entry, SendPolicy sendPolicy)
            throws IOException {
        UpstreamConnection connection = entry.getConnection();
        boolean isCheckSkipped =
                sendPolicy == SendPolicy.POOLED_UNCHECKED && !connection.isIdleFor(UNCHECKED_REUSE_WINDOW);
        return !connection.isOpen() || (!isCheckSkipped && connection.hasChannelInput());
    }

    /**
     * Closes the idle connections to a peer that may have gone silent together with one that brought no byte for a request:
     * those that have brought none since either.
     */
    private void discardIfSilent(Address peer, UpstreamConnection used, long sentNanoseconds, UpstreamFailure failure) {
        boolean isUnanswered =
                failure instanceof UpstreamFailure.TimedOut || failure instanceof UpstreamFailure.Cancelled;
        boolean isLong = System.nanoTime() - sentNanoseconds > SILENCE_LIMIT.toNanos();
        if (!isUnanswered || !isLong || used.hasReceivedSince(sentNanoseconds)) {
            return;
        }
        pool.enumAvailable(entry -> {
            if (entry.getRoute().equals(peer) && !entry.getConnection().hasReceivedSince(sentNanoseconds)) {
                entry.discardConnection(CloseMode.IMMEDIATE);
            }
        });
    }

    // -- exchange

    private static Either<UpstreamFailure, UpstreamResponse> exchange(
            LeasedConnection leased,
            BasicClassicHttpRequest message,
            OutboundRequest request,
            ResponseMatcher matcher,
            ReceiveLimits limits,
            Cancellation cancellation) {
        cancellation.check();
        if (cancellation.isCancelled()) {
            leased.markResponseRead();
            leased.close();
            return Either.left(new UpstreamFailure.NotSent(UpstreamFailure.Cause.CANCELLED, "the caller has left"));
        }
        cancellation.onCancel(leased::abort);
        ExchangeProgress progress = new ExchangeProgress();
        try {
            leased.connection().limitReads(limits);
            ClassicHttpResponse response = transfer(leased.connection(), message, request, matcher, progress);
            if (!ConnectionReuse.isKeepAlive(response, false) || !ResponseFraming.isFramed(response)) {
                leased.disableReuse();
            }
            return Either.right(UpstreamResponse.of(response, leased));
        } catch (IOException | HttpException | RuntimeException cause) {
            leased.close();
            return Either.left(progress.failure(cause, cancellation));
        }
    }

    private static ClassicHttpResponse transfer(
            UpstreamConnection connection,
            BasicClassicHttpRequest message,
            OutboundRequest request,
            ResponseMatcher matcher,
            ExchangeProgress progress)
            throws IOException, HttpException {
        connection.setSocketTimeout(Timeout.of(request.responseTimeout()));
        progress.mayHaveRun = !request.isContinueExpected();
        connection.sendRequestHeader(message);
        if (request.isContinueExpected()) {
            connection.flush();
            ClassicHttpResponse first = receive(connection, message, matcher);
            if (first.getCode() != HttpStatus.SC_CONTINUE) {
                return first;
            }
            progress.mayHaveRun = true;
        }
        connection.sendRequestEntity(message);
        connection.flush();
        return receiveFinal(connection, message, matcher);
    }

    private static ClassicHttpResponse receiveFinal(
            UpstreamConnection connection, BasicClassicHttpRequest message, ResponseMatcher matcher)
            throws IOException, HttpException {
        int skipped = 0;
        long skippedBytes = 0;
        while (skipped <= SKIPPED_RESPONSE_LIMIT) {
            ClassicHttpResponse response = receive(connection, message, matcher);
            if (response.getCode() < HttpStatus.SC_OK) {
                continue;
            }
            if (matcher.isMatch(response)) {
                return response;
            }
            skippedBytes += skipBody(connection, response, SKIPPED_BYTES_LIMIT - skippedBytes);
            skipped++;
        }
        throw new ProtocolException("only answers to other requests came");
    }

    private static long skipBody(UpstreamConnection connection, ClassicHttpResponse response, long limitBytes)
            throws IOException {
        if (response.getEntity() == null) {
            return 0;
        }
        InputStream input = response.getEntity().getContent();
        byte[] buffer = new byte[BUFFER_BYTES];
        long bytes = 0;
        int count = input.read(buffer);
        while (count >= 0) {
            connection.recordBodyRead();
            bytes += count;
            if (bytes > limitBytes) {
                throw new ResponseLimitException(UpstreamFailure.Limit.SKIPPED);
            }
            count = input.read(buffer);
        }
        return bytes;
    }

    private static ClassicHttpResponse receive(
            UpstreamConnection connection, BasicClassicHttpRequest message, ResponseMatcher matcher)
            throws IOException, HttpException {
        ClassicHttpResponse response = connection.receiveResponseHeader();
        if (response.getCode() < HttpStatus.SC_OK
                || !ResponseFraming.hasBody(message.getMethod(), response.getCode())) {
            return response;
        }
        if (!matcher.allowsCloseDelimitedBody()) {
            ResponseFraming.requireFramed(response);
        }
        connection.receiveResponseEntity(response);
        return response;
    }

    private static UpstreamFailure notSent(UpstreamFailure.Cause cause, Exception exception) {
        return new UpstreamFailure.NotSent(cause, String.valueOf(exception.getMessage()));
    }

    private static UpstreamFailure failureAfterSend(Exception cause, Cancellation cancellation) {
        if (cancellation.isCancelled()) {
            return new UpstreamFailure.Cancelled();
        }
        return switch (cause) {
            case InterruptedIOException _ -> new UpstreamFailure.TimedOut();
            case ResponseLimitException exceeded -> new UpstreamFailure.LimitExceeded(exceeded.limit());
            case MessageConstraintException _ -> new UpstreamFailure.LimitExceeded(UpstreamFailure.Limit.HEAD);
            default -> new UpstreamFailure.ResponseLost(String.valueOf(cause.getMessage()));
        };
    }

    /** Tracks whether the peer may already have run the request. */
    private static final class ExchangeProgress {
        private boolean mayHaveRun;

        UpstreamFailure failure(Exception cause, Cancellation cancellation) {
            if (!mayHaveRun) {
                return notSent(UpstreamFailure.Cause.FAILED, cause);
            }
            return failureAfterSend(cause, cancellation);
        }
    }
}
