package org.oleanderturn.proxy;

import java.util.Optional;
import org.oleanderturn.traffic.LocalReply;
import org.oleanderturn.traffic.NotRunReason;

/** How the attempts of a request ended. */
sealed interface ExecutionResult {

    /** An attempt answers; its body is still to be passed on. */
    record Responded(AttemptResponse response) implements ExecutionResult {}

    /**
     * The request was given up.
     *
     * @param finalAnswer what the caller is told
     * @param lastNotRunReason the last reason for which an attempt did not run
     * @param failureResponse the target's own answer to the last attempt that failed
     */
    record GivenUp(LocalReply finalAnswer, NotRunReason lastNotRunReason, Optional<Response> failureResponse)
            implements ExecutionResult {}
}
