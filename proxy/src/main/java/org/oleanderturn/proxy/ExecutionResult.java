package org.oleanderturn.proxy;

import java.util.Optional;
import org.oleanderturn.traffic.LocalReply;
import org.oleanderturn.traffic.NotRunReason;

/** The result of executing a request, after all of its attempts. */
sealed interface ExecutionResult {

    /** An attempt received a response, whose body has not been forwarded yet. */
    record Responded(AttemptResponse response) implements ExecutionResult {}

    /**
     * No attempt received a response to forward.
     *
     * @param localReply what the caller is told, and when to retry
     * @param lastNotRunReason why the last attempt that did not run was not run; {@code NO_ENDPOINT} if there was none
     * @param failureResponse the target's server error from the last failed attempt, if there was one
     */
    record GivenUp(LocalReply localReply, NotRunReason lastNotRunReason, Optional<Response> failureResponse)
            implements ExecutionResult {}
}
