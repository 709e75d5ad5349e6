package org.oleanderturn.node;

/**
 * Why a control message got no answer of use.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface ControlFailure {

    /** Nothing was sent. */
    record Unreachable(String reason) implements ControlFailure {}

    /** The message was sent and may have been acted on. */
    record AnswerLost(String reason) implements ControlFailure {}

    /** The answer was not understood. */
    record Malformed(String reason) implements ControlFailure {}
}
