package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** What the entry of a request does next. Immutable and thread safe. */
public sealed interface RequestAction {

    /**
     * Send an attempt to an endpoint that no earlier attempt of the request went to.
     *
     * @param attempt its number, from 1
     * @param isSuspect whether the guard must run it alone
     * @param allowance the allowance that goes along
     */
    record Send(int attempt, boolean isSuspect, RetryAllowance allowance) implements RequestAction {

        /** Checks that the allowance is there. */
        public Send {
            Objects.requireNonNull(allowance, "granted is null");
        }
    }

    /** Report {@link RequestEvent.RetryDue} after a pause. */
    record ScheduleRetry(Duration delay) implements RequestAction {

        /** Checks that the span is there. */
        public ScheduleRetry {
            Objects.requireNonNull(delay, "span is null");
        }
    }

    /** Pass the answer of this attempt on to the caller. */
    record Deliver(int attempt) implements RequestAction {}

    /** Cancel an attempt that is out; what it brings is dropped. */
    record Cancel(int attempt) implements RequestAction {}

    /** Answer the caller now; for a truncated answer, break the connection off. */
    record Reply(LocalReply reply) implements RequestAction {

        /** Checks that the answer is there. */
        public Reply {
            Objects.requireNonNull(reply, "answer is null");
        }
    }
}
