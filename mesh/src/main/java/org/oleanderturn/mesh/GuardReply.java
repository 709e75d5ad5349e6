package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.proxy.BufferedResponse;

/**
 * The outcome of one attempt at a guard.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface GuardReply {
    /** The target ran the request and sent a complete response. */
    record Ran(BufferedResponse response) implements GuardReply {

        /** Throws a {@link NullPointerException} when the response is null. */
        public Ran {
            Objects.requireNonNull(response, "answer is null");
        }
    }

    /**
     * The request did not run and will not.
     *
     * @param isRejectedByTarget whether the request reached the target, which rejected it
     * @param retryAfter after which time a slot is expected to be free; zero when nothing is known
     */
    record NotRun(String reason, boolean isRejectedByTarget, Duration retryAfter) implements GuardReply {

        /** Throws a {@link NullPointerException} when a component is null. */
        public NotRun {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /** The request may have run; there is no response that can be passed on. */
    record Unknown(String reason) implements GuardReply {

        /** Throws a {@link NullPointerException} when the reason is null. */
        public Unknown {
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /** The attempt was cancelled: its client disconnected, its deadline passed, or the guard became unreachable. */
    record Abandoned() implements GuardReply {}
}
