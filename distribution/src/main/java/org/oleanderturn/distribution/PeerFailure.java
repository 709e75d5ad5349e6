package org.oleanderturn.distribution;

/**
 * The reason why an exchange with a peer failed.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface PeerFailure {

    /** The peer could not be connected to; the message was not delivered. */
    record Unreachable(String reason) implements PeerFailure {}

    /** No response arrived in time; the peer may have processed the message. */
    record TimedOut() implements PeerFailure {}

    /** The response could not be decoded or has an unexpected type. */
    record Malformed(String reason) implements PeerFailure {}
}
