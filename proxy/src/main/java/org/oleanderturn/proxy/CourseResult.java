package org.oleanderturn.proxy;

import java.util.Optional;
import org.oleanderturn.traffic.LocalReply;
import org.oleanderturn.traffic.NotRunReason;

/** How the attempts of a request ended. */
sealed interface CourseResult {

    /** An attempt answers; its body is still to be passed on. */
    record Delivered(AttemptAnswer answer) implements CourseResult {}

    /**
     * The request was given up.
     *
     * @param answer what the caller is told
     * @param lastReason the last reason for which an attempt did not run
     * @param failure the target's own answer to the last attempt that failed
     */
    record GivenUp(LocalReply answer, NotRunReason lastReason, Optional<Answer> failure) implements CourseResult {}
}
