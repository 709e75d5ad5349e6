package org.oleanderturn.distribution;

/**
 * Why an exchange with a peer gave no answer.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface PeerFailure {

    /** No connection was made. */
    record Unreachable(String reason) implements PeerFailure {}

    /** No answer came in time; the peer may have acted on the message. */
    record TimedOut() implements PeerFailure {}

    /** The answer was not understood. */
    record Malformed(String reason) implements PeerFailure {}
}
