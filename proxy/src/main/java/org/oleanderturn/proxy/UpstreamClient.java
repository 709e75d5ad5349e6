package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.io.entity.EntityUtils;
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
 * <p>Invariant: a request is sent at most once; a failure says whether it can have run. Thread safe.
 */
public final class UpstreamClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;
    private static final TimeValue CONNECTION_LIFE = TimeValue.ofMinutes(5);
    /** How long after its last use a connection is not looked at before it is used again. */
    private static final Duration JUST_USED = Duration.ofMillis(500);

    /** How long after its last use a target surely keeps a connection open; targets state ten seconds and more. */
    private static final Duration RECENT = Duration.ofSeconds(3);

    private static final Http1Config HTTP = Http1Config.custom()
            .setBufferSize(BUFFER_BYTES)
            .setMaxLineLength(BUFFER_BYTES)
            .setMaxHeaderCount(200)
            .build();

    /** How many answers to earlier requests are read over before a connection is given up. */
    private static final int MOST_OTHER_ANSWERS = 3;

    private final LaxConnPool<Address, UpstreamConnection> pool;

    private UpstreamClient(LaxConnPool<Address, UpstreamConnection> pool) {
        this.pool = pool;
    }

    /**
     * Returns a client with an empty pool.
     *
     * @param connectionsPerPeer the most connections to one peer
     */
    public static UpstreamClient of(int connectionsPerPeer) {
        return new UpstreamClient(
                new LaxConnPool<>(connectionsPerPeer, CONNECTION_LIFE, PoolReusePolicy.LIFO, null, null));
    }

    // -- commands

    /** Sends a request and waits for the headers of its answer; the caller closes the answer. */
    public Either<ForwardFailure, UpstreamAnswer> send(
            Address peer, OutboundRequest request, Cancellation cancellation) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(cancellation, "cancellation is null");
        BasicClassicHttpRequest message = OutboundMessage.of(peer, request);
        return connect(peer, request)
                .flatMap(
                        connection -> exchange(connection, message, request, AnswerExpectation.framed(), cancellation));
    }

    /**
     * Sends a request and reads its whole answer.
     *
     * @param expectation tells the answer from others that come late on the same connection
     * @param limitBytes the longest body that is taken; a longer one counts as lost
     */
    public Either<ForwardFailure, WholeAnswer> exchange(
            Address peer,
            OutboundRequest request,
            AnswerExpectation expectation,
            int limitBytes,
            Cancellation cancellation) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(expectation, "expectation is null");
        Objects.requireNonNull(cancellation, "cancellation is null");
        BasicClassicHttpRequest message = OutboundMessage.of(peer, request);
        return connect(peer, request)
                .flatMap(connection -> exchange(connection, message, request, expectation, cancellation))
                .flatMap(answer -> readWhole(answer, limitBytes, cancellation));
    }

    private static Either<ForwardFailure, WholeAnswer> readWhole(
            UpstreamAnswer answer, int limitBytes, Cancellation cancellation) {
        try (answer) {
            Optional<byte[]> body = answer.readBody(limitBytes);
            return body.isPresent()
                    ? Either.right(new WholeAnswer(answer.status(), answer.headers(), body.get()))
                    : Either.left(new ForwardFailure.AnswerLost("the answer is longer than " + limitBytes + " bytes"));
        } catch (SocketTimeoutException late) {
            return Either.left(new ForwardFailure.TimedOut());
        } catch (IOException cause) {
            return cancellation.isCancelled()
                    ? Either.left(new ForwardFailure.Cancelled())
                    : Either.left(new ForwardFailure.AnswerLost(String.valueOf(cause.getMessage())));
        }
    }

    /** Closes connections that have stood idle for long. */
    public void expire(Duration idle) {
        pool.closeIdle(TimeValue.of(idle));
        pool.closeExpired();
    }

    @Override
    public void close() {
        pool.close(CloseMode.IMMEDIATE);
    }

    // -- connections

    private Either<ForwardFailure, LeasedConnection> connect(Address peer, OutboundRequest request) {
        Timeout timeout = Timeout.of(request.connectTimeout());
        Future<PoolEntry<Address, UpstreamConnection>> lease = pool.lease(peer, null, timeout, null);
        try {
            PoolEntry<Address, UpstreamConnection> entry = lease.get(timeout.toMilliseconds(), TimeUnit.MILLISECONDS);
            return open(peer, entry, request);
        } catch (TimeoutException cause) {
            lease.cancel(true);
            return Either.left(notSent(ForwardFailure.Cause.NO_CONNECTION, cause));
        } catch (ExecutionException cause) {
            return Either.left(notSent(ForwardFailure.Cause.FAILED, cause));
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            lease.cancel(true);
            return Either.left(notSent(ForwardFailure.Cause.NO_CONNECTION, interrupt));
        }
    }

    private Either<ForwardFailure, LeasedConnection> open(
            Address peer, PoolEntry<Address, UpstreamConnection> entry, OutboundRequest request) {
        LeasedConnection leased = LeasedConnection.of(pool, entry);
        try {
            if (entry.hasConnection() && (isUnfit(entry, request.delivery()) || isDead(entry, request.delivery()))) {
                entry.discardConnection(CloseMode.IMMEDIATE);
            }
            if (!entry.hasConnection()) {
                entry.assignConnection(UpstreamConnection.dial(peer, request.connectTimeout(), HTTP));
            }
            entry.getConnection().use();
            return Either.right(leased);
        } catch (ConnectException cause) {
            leased.close();
            return Either.left(notSent(ForwardFailure.Cause.REFUSED, cause));
        } catch (IOException cause) {
            leased.close();
            return Either.left(notSent(ForwardFailure.Cause.FAILED, cause));
        }
    }

    private static boolean isUnfit(PoolEntry<Address, UpstreamConnection> entry, Delivery delivery) {
        return switch (delivery) {
            case POOLED, TRUSTED, GO_AHEAD -> false;
            case NEW_CONNECTION -> true;
            case RECENT_CONNECTION -> entry.getConnection().isIdleFor(RECENT);
        };
    }

    /** A connection of moments ago is taken as it is when a repeat does no harm; a look at it costs four system calls. */
    private static boolean isDead(PoolEntry<Address, UpstreamConnection> entry, Delivery delivery) throws IOException {
        UpstreamConnection connection = entry.getConnection();
        boolean isTakenAsIs = delivery == Delivery.TRUSTED && !connection.isIdleFor(JUST_USED);
        return !connection.isOpen() || connection.isUnfit(!isTakenAsIs);
    }

    // -- exchange

    private static Either<ForwardFailure, UpstreamAnswer> exchange(
            LeasedConnection leased,
            BasicClassicHttpRequest message,
            OutboundRequest request,
            AnswerExpectation expectation,
            Cancellation cancellation) {
        cancellation.onCancel(leased::abort);
        Progress progress = new Progress();
        try {
            ClassicHttpResponse response = transfer(leased.connection(), message, request, expectation, progress);
            if (!ConnectionReuse.isKept(response, false) || !AnswerFraming.isFramed(response)) {
                leased.setUnkept();
            }
            return Either.right(UpstreamAnswer.of(response, leased));
        } catch (IOException | HttpException | RuntimeException cause) {
            leased.close();
            return Either.left(progress.failure(cause, cancellation));
        }
    }

    private static ClassicHttpResponse transfer(
            UpstreamConnection connection,
            BasicClassicHttpRequest message,
            OutboundRequest request,
            AnswerExpectation expectation,
            Progress progress)
            throws IOException, HttpException {
        connection.setSocketTimeout(Timeout.of(request.answerTimeout()));
        progress.hasBegun = !request.isGoAheadAwaited();
        connection.sendRequestHeader(message);
        if (request.isGoAheadAwaited()) {
            connection.flush();
            ClassicHttpResponse first = receive(connection, message, expectation);
            if (first.getCode() != HttpStatus.SC_CONTINUE) {
                return first;
            }
            progress.hasBegun = true;
        }
        connection.sendRequestEntity(message);
        connection.flush();
        return receiveFinal(connection, message, expectation);
    }

    private static ClassicHttpResponse receiveFinal(
            UpstreamConnection connection, BasicClassicHttpRequest message, AnswerExpectation expectation)
            throws IOException, HttpException {
        int others = 0;
        while (others <= MOST_OTHER_ANSWERS) {
            ClassicHttpResponse response = receive(connection, message, expectation);
            if (response.getCode() < HttpStatus.SC_OK) {
                continue;
            }
            if (expectation.isMatch(response)) {
                return response;
            }
            EntityUtils.consume(response.getEntity());
            others++;
        }
        throw new ProtocolException("only answers to other requests came");
    }

    private static ClassicHttpResponse receive(
            UpstreamConnection connection, BasicClassicHttpRequest message, AnswerExpectation expectation)
            throws IOException, HttpException {
        ClassicHttpResponse response = connection.receiveResponseHeader();
        if (response.getCode() < HttpStatus.SC_OK || !AnswerFraming.hasBody(message.getMethod(), response.getCode())) {
            return response;
        }
        if (!expectation.mayEndWithConnection()) {
            AnswerFraming.check(response);
        }
        connection.receiveResponseEntity(response);
        return response;
    }

    private static ForwardFailure notSent(ForwardFailure.Cause cause, Exception exception) {
        return new ForwardFailure.NotSent(cause, String.valueOf(exception.getMessage()));
    }

    /** How far an exchange has come. */
    private static final class Progress {
        private boolean hasBegun;

        ForwardFailure failure(Exception cause, Cancellation cancellation) {
            if (!hasBegun) {
                return notSent(ForwardFailure.Cause.FAILED, cause);
            }
            if (cancellation.isCancelled()) {
                return new ForwardFailure.Cancelled();
            }
            return switch (cause) {
                case SocketTimeoutException _ -> new ForwardFailure.TimedOut();
                case InterruptedIOException _ -> new ForwardFailure.TimedOut();
                default -> new ForwardFailure.AnswerLost(String.valueOf(cause.getMessage()));
            };
        }
    }
}
