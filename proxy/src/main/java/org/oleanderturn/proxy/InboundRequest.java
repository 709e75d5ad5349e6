package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** A request that a listener received. Not thread safe: used by the thread that handles the request. */
public interface InboundRequest {

    /** Returns the HTTP method. */
    String method();

    /** Returns the path and query of the request target. */
    String path();

    /** Returns all headers, in their order. */
    List<HeaderField> headers();

    /** Returns the value of the first header with the given name; empty if there is none. */
    default Optional<String> header(String name) {
        return HeaderField.find(headers(), name);
    }

    /**
     * Reads the whole body. Sends 100 (Continue) first if the peer waits for it.
     *
     * @param limitBytes the maximum length of the body
     * @return the body; empty if it is longer than the limit
     * @throws IOException if the connection fails before the end of the body
     */
    Optional<byte[]> readBody(int limitBytes) throws IOException;

    /**
     * Reads the whole body with a read timeout. Sends 100 (Continue) first if the peer waits for it.
     *
     * @param limitBytes the maximum length of the body
     * @param timeout the maximum wait for the next bytes; the idle timeout of the listener applies if it is shorter
     * @return the body; empty if it is longer than the limit
     * @throws IOException if the connection fails before the end of the body or a read times out
     */
    Optional<byte[]> readBody(int limitBytes, Duration timeout) throws IOException;

    /**
     * Reads the whole body into memory that stays reserved until the response to this request has been written. Sends 100
     * (Continue) first if the peer waits for it.
     *
     * @param limitBytes the maximum length of the body
     * @return the body; or the limit that it exceeds, after which a body of moderate length has been discarded
     * @throws IOException if the connection fails before the end of the body
     */
    default Either<UpstreamFailure.Limit, byte[]> readReservedBody(int limitBytes) throws IOException {
        return readBody(limitBytes)
                .map(Either::<UpstreamFailure.Limit, byte[]>right)
                .orElseGet(() -> Either.left(UpstreamFailure.Limit.BODY));
    }

    /** Returns what the responses to this request are reserved from until its own response has been written. */
    default BodyReservation bodyReservation() {
        return BodyReservation.unlimited();
    }

    /**
     * Returns an estimate of how long the request had waited before it was read or begun: for the core, and behind other
     * requests of its connection. The latter is never estimated too short.
     */
    default Duration readDelay() {
        return Duration.ZERO;
    }

    /** Returns an estimate of the part of {@link #readDelay} that the request had waited for the core. */
    default Duration coreDelay() {
        return readDelay();
    }

    /** Returns whether the request came from this host, as the calls of the local target do. */
    default boolean isFromOwnHost() {
        return false;
    }

    /** Returns whether the peer has disconnected; asks the connection, and runs the action that waits for that. */
    default boolean hasPeerLeft() {
        return false;
    }

    /**
     * Runs the action once if the peer disconnects before the response has been written.
     *
     * @throws IOException if the connection has already failed
     */
    void onPeerDisconnect(Runnable action) throws IOException;
}
