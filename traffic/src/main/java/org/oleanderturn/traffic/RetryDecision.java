package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** What to do after an attempt has ended. Immutable and thread safe. */
public sealed interface RetryDecision {

    /** The answer is the caller's. */
    record Deliver() implements RetryDecision {}

    /**
     * Send the request again to another endpoint.
     *
     * @param delay the pause before it
     * @param isSuspect whether the next guard must run it alone
     */
    record Retry(Duration delay, boolean isSuspect) implements RetryDecision {

        /** Checks that the pause is there. */
        public Retry {
            Objects.requireNonNull(delay, "after is null");
        }
    }

    /** Answer the caller now. */
    record GiveUp(LocalReply reply) implements RetryDecision {

        /** Checks that the answer is there. */
        public GiveUp {
            Objects.requireNonNull(reply, "answer is null");
        }
    }
}
