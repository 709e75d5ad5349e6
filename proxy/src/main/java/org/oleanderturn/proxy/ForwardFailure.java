package org.oleanderturn.proxy;

/**
 * Why a request to another node or to a target got no answer.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface ForwardFailure {
    /** The peer refused the connection; nothing was sent. */
    record Refused() implements ForwardFailure {}

    /** The request was not sent so far that it could run. */
    record NotSent(String reason) implements ForwardFailure {}

    /** The request was sent and may have run; its answer is lost. */
    record AnswerLost(String reason) implements ForwardFailure {}

    /** The request was sent and may be running; its time is up. */
    record TimedOut() implements ForwardFailure {}

    /** Nobody waits for the answer any more; the request may have run. */
    record Cancelled() implements ForwardFailure {}
}
