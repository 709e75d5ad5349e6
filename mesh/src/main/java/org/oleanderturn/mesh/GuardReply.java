package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.proxy.BufferedResponse;

/**
 * What became of one attempt at a guard.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface GuardReply {
    /** The target ran the request; its whole answer is here. */
    record Ran(BufferedResponse answer) implements GuardReply {

        /** Checks that the answer is there. */
        public Ran {
            Objects.requireNonNull(answer, "answer is null");
        }
    }

    /**
     * The request did not run and won't.
     *
     * @param isRejectedByTarget whether it reached the target, which turned it away
     * @param retryAfter when a slot is expected to be free
     */
    record NotRun(String reason, boolean isRejectedByTarget, Duration retryAfter) implements GuardReply {

        /** Checks that every part is there. */
        public NotRun {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /** The request may have run; its answer is lost. */
    record Unknown(String reason) implements GuardReply {

        /** Checks that the reason is there. */
        public Unknown {
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /** Nobody waits any more, or the time is up. */
    record Abandoned() implements GuardReply {}
}
