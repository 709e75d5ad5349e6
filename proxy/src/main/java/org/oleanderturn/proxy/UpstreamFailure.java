package org.oleanderturn.proxy;

/**
 * Why a request to another node or to a target got no answer.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface UpstreamFailure {
    /** The request was not sent so far that it could run. */
    record NotSent(Cause cause, String reason) implements UpstreamFailure {}

    /** The request was sent and may have run; its answer is lost. */
    record ResponseLost(String reason) implements UpstreamFailure {}

    /** The request was sent and may be running; its time is up. */
    record TimedOut() implements UpstreamFailure {}

    /** Nobody waits for the answer any more; the request may have run. */
    record Cancelled() implements UpstreamFailure {}

    /** Why a request was not sent. */
    enum Cause {
        /** Nobody listens at the peer's address. */
        CONNECTION_REFUSED,
        /** No connection was free in time. */
        NO_FREE_CONNECTION,
        /** The connection failed, or the peer did not give the go-ahead. */
        CONNECTION_FAILED
    }
}
