package org.oleanderturn.node;

/**
 * Why a control message got no usable answer.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface ControlFailure {

    /** The peer could not be reached; nothing was sent. */
    record Unreachable(String reason) implements ControlFailure {}

    /** No answer arrived; the message was sent and may have taken effect. */
    record AnswerLost(String reason) implements ControlFailure {}

    /** The answer could not be decoded or is of an unexpected kind. */
    record Malformed(String reason) implements ControlFailure {}
}
