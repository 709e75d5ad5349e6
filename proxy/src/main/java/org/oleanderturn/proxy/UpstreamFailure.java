package org.oleanderturn.proxy;

/**
 * Why a request to another node or to a target got no response.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface UpstreamFailure {
    /** The request was not sent, or not far enough for the peer to run it. */
    record NotSent(Cause cause, String reason) implements UpstreamFailure {}

    /** The request was sent and may have run; its response was lost. */
    record ResponseLost(String reason) implements UpstreamFailure {}

    /** The request was sent and may still be running; the response timed out. */
    record TimedOut() implements UpstreamFailure {}

    /** The request was cancelled and may have run. */
    record Cancelled() implements UpstreamFailure {}

    /** The request was sent and may have run; its response exceeded a limit, and the connection was closed. */
    record LimitExceeded(Limit limit) implements UpstreamFailure {}

    /** Which limit a response exceeded. */
    enum Limit {
        /** The length of a line, the number of headers, or the bytes that carry no body. */
        HEAD,
        /** The bytes of responses to other requests on the connection. */
        SKIPPED,
        /** The length of the body. */
        BODY,
        /** The share of one request in the memory for bodies, or that memory as a whole. */
        MEMORY
    }

    /** Why a request was not sent. */
    enum Cause {
        /** The connection to the peer's address was refused. */
        REFUSED,
        /** No pooled connection became free in time. */
        NO_CONNECTION,
        /** The connection failed, or the peer did not send 100 (Continue). */
        FAILED,
        /** The caller left, or its time ended, before the request was sent. */
        CANCELLED
    }
}
