package org.oleanderturn.wire;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;

/**
 * Sends requests to peers over pooled connections, one request at a time per connection.
 *
 * <p>Invariant: a request that a peer may have received completely is never sent again. Thread safe.
 */
public final class FrameClient implements AutoCloseable {
    private final WireLimits limits;
    private final WireCounters counters = WireCounters.empty();
    private final ScheduledExecutorService deadlineExecutor = DeadlineExecutors.newExecutor("frame-client-deadlines");
    private final ConnectionPool pool;

    private FrameClient(WireLimits limits) {
        this.limits = limits;
        this.pool = new ConnectionPool(
                limits.maximumIdleConnections(),
                limits.idleTimeout().toMillis() / 2,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    /** Returns a client with the given limits. */
    public static FrameClient of(WireLimits limits) {
        return new FrameClient(Objects.requireNonNull(limits, "limits is null"));
    }

    // -- core operations

    /**
     * Sends a request and waits for its answer.
     *
     * @param timeout time limit of the whole call
     * @return the answer, or the reason why there is none; see {@link WireFailure#isUndetermined}
     */
    public Either<WireFailure, Frame> call(Address peer, Frame request, Duration timeout) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(timeout, "timeout is null");
        byte[] encoded = FrameChannel.encode(request);
        if (FrameChannel.bodyBytes(encoded) > limits.maximumFrameBytes()) {
            return Either.left(
                    new WireFailure.Oversize(FrameChannel.bodyBytes(encoded), limits.maximumFrameBytes(), false));
        }
        Call call = new Call(peer, encoded, timeout, System.nanoTime() + timeout.toNanos());
        Optional<FrameChannel> sent = sendOverIdle(call);
        if (sent.isPresent()) {
            return receive(call, sent.get());
        }
        return sendOverNew(call).flatMap(connection -> receive(call, connection));
    }

    /** Returns the counters of bytes sent and received. */
    public WireCounters counters() {
        return counters;
    }

    /** Returns the number of idle connections. */
    public int idleConnections() {
        return pool.size();
    }

    /** Closes the idle connections; calls in progress are not interrupted. */
    @Override
    public void close() {
        pool.close();
        deadlineExecutor.shutdown();
    }

    // -- sending

    private Optional<FrameChannel> sendOverIdle(Call call) {
        Optional<FrameChannel> idle = pool.take(call.peer());
        if (idle.isEmpty()) {
            return Optional.empty();
        }
        FrameChannel connection = idle.get();
        return write(call, connection).isRight() ? idle : Optional.empty();
    }

    private Either<WireFailure, FrameChannel> sendOverNew(Call call) {
        try {
            FrameChannel connection = FrameChannel.connect(call.peer(), call.remaining(), deadlineExecutor);
            return write(call, connection);
        } catch (IOException cause) {
            return unreachable(call, cause);
        }
    }

    private Either<WireFailure, FrameChannel> write(Call call, FrameChannel connection) {
        try {
            connection.write(call.encoded(), call.remaining());
            counters.addSent(call.peer(), call.encoded().length);
            return Either.right(connection);
        } catch (IOException cause) {
            connection.close();
            return unreachable(call, cause);
        }
    }

    private static Either<WireFailure, FrameChannel> unreachable(Call call, IOException cause) {
        return Either.left(new WireFailure.Unreachable(call.peer(), String.valueOf(cause.getMessage())));
    }

    // -- receiving

    private Either<WireFailure, Frame> receive(Call call, FrameChannel connection) {
        FrameReadResult read = connection.read(call.remaining(), call.remaining(), limits.maximumFrameBytes());
        if (read instanceof FrameReadResult.Complete complete
                && !complete.frame().isRefusal()) {
            counters.addReceived(call.peer(), complete.bytes());
            pool.put(call.peer(), connection);
            return Either.right(complete.frame());
        }
        connection.close();
        return Either.left(failure(call, read));
    }

    private WireFailure failure(Call call, FrameReadResult read) {
        return switch (read) {
            case FrameReadResult.Complete complete -> refusal(call, complete);
            case FrameReadResult.Closed closed -> new WireFailure.AnswerLost(call.peer(), closed.reason());
            case FrameReadResult.Truncated truncated -> new WireFailure.AnswerLost(call.peer(), truncated.reason());
            case FrameReadResult.IdleTimeout idle -> new WireFailure.TimedOut(call.peer(), call.timeout());
            case FrameReadResult.Stalled stalled -> new WireFailure.TimedOut(call.peer(), call.timeout());
            case FrameReadResult.Oversize oversize ->
                new WireFailure.Oversize(oversize.actualBytes(), limits.maximumFrameBytes(), true);
            case FrameReadResult.Malformed malformed -> new WireFailure.Malformed(call.peer(), malformed.reason());
        };
    }

    private WireFailure refusal(Call call, FrameReadResult.Complete complete) {
        counters.addReceived(call.peer(), complete.bytes());
        return Codec.messagePack()
                .decode(complete.frame().payload(), RefusalKind.class)
                .fold(
                        failure -> new WireFailure.Malformed(call.peer(), failure.reason()),
                        kind -> new WireFailure.Refused(call.peer(), kind));
    }

    /** A call in progress. */
    @SuppressWarnings("ArrayRecordComponent")
    private record Call(Address peer, byte[] encoded, Duration timeout, long deadlineNanoseconds) {

        private Duration remaining() {
            long remaining = deadlineNanoseconds - System.nanoTime();
            return Duration.ofNanos(Math.max(remaining, 1));
        }
    }
}
