package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** An action that the entry of a request must perform. Immutable and thread safe. */
public sealed interface RequestAction {

    /**
     * Send an attempt to an endpoint that no earlier attempt of the request was sent to.
     *
     * @param attempt its number, from 1
     * @param isSuspect whether the guard must run it exclusively
     * @param allowance the retry allowance to send with it
     */
    record Send(int attempt, boolean isSuspect, RetryAllowance allowance) implements RequestAction {

        /** Throws {@link NullPointerException} if the allowance is null. */
        public Send {
            Objects.requireNonNull(allowance, "allowance is null");
        }
    }

    /**
     * Report {@link RequestEvent.RetryDue} after a delay.
     *
     * @param delay until then
     */
    record ScheduleRetry(Duration delay) implements RequestAction {

        /** Throws {@link NullPointerException} if the delay is null. */
        public ScheduleRetry {
            Objects.requireNonNull(delay, "delay is null");
        }
    }

    /**
     * Deliver the response of an attempt to the caller.
     *
     * @param attempt its number
     */
    record Deliver(int attempt) implements RequestAction {}

    /**
     * Cancel an outstanding attempt and discard its response.
     *
     * @param attempt its number
     */
    record Cancel(int attempt) implements RequestAction {}

    /**
     * Reply to the caller now; for a truncated response, close the connection.
     *
     * @param reply the reply
     */
    record Reply(LocalReply reply) implements RequestAction {

        /** Throws {@link NullPointerException} if the reply is null. */
        public Reply {
            Objects.requireNonNull(reply, "reply is null");
        }
    }
}
