package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** Result of {@link RetryPolicy#decide}: what to do after an attempt has ended. Immutable and thread safe. */
public sealed interface RetryDecision {

    /** Deliver the response to the caller. */
    record Deliver() implements RetryDecision {}

    /**
     * Send the request to another endpoint.
     *
     * @param delay before it is sent
     * @param isSuspect whether the next guard must run it exclusively
     */
    record Retry(Duration delay, boolean isSuspect) implements RetryDecision {

        /** Throws {@link NullPointerException} if the delay is null. */
        public Retry {
            Objects.requireNonNull(delay, "delay is null");
        }
    }

    /**
     * Give the request up and reply to the caller now.
     *
     * @param reply the reply
     */
    record GiveUp(LocalReply reply) implements RetryDecision {

        /** Throws {@link NullPointerException} if the reply is null. */
        public GiveUp {
            Objects.requireNonNull(reply, "reply is null");
        }
    }
}
