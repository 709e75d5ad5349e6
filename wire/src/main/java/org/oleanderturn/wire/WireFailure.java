package org.oleanderturn.wire;

import java.time.Duration;
import org.oleanderturn.model.Address;

/**
 * Why a call received no answer, or why a server could not start.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface WireFailure {

    /** Returns whether the peer may have handled the request. */
    default boolean isUndetermined() {
        return switch (this) {
            case Unreachable failure -> false;
            case AnswerLost failure -> true;
            case TimedOut failure -> true;
            case Oversize failure -> failure.received();
            case Malformed failure -> true;
            case Refused failure -> failure.kind() == RefusalKind.FAILED;
            case BindFailed failure -> false;
        };
    }

    /** The request was not sent completely, so the peer can't have handled it. */
    record Unreachable(Address peer, String reason) implements WireFailure {}

    /** The request was sent, and the connection was closed before the complete answer arrived. */
    record AnswerLost(Address peer, String reason) implements WireFailure {}

    /** The request was sent, and the complete answer did not arrive in time. */
    record TimedOut(Address peer, Duration timeout) implements WireFailure {}

    /** A frame exceeds the size limit: the answer if received is true, otherwise the request, which was not sent. */
    record Oversize(long actualBytes, long maximumBytes, boolean received) implements WireFailure {}

    /** The answer is not a well-formed frame. */
    record Malformed(Address peer, String reason) implements WireFailure {}

    /** The peer answered with an error. */
    record Refused(Address peer, RefusalKind kind) implements WireFailure {}

    /** The server can't listen on the address. */
    record BindFailed(ListenAddress listen, String reason) implements WireFailure {}
}
