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
     * @param granted the allowance that goes along
     */
    record Send(int attempt, boolean isSuspect, RetryAllowance granted) implements RequestAction {

        /** Checks that the allowance is there. */
        public Send {
            Objects.requireNonNull(granted, "granted is null");
        }
    }

    /** Report {@link RequestEvent.RetryDue} after a pause. */
    record Pause(Duration span) implements RequestAction {

        /** Checks that the span is there. */
        public Pause {
            Objects.requireNonNull(span, "span is null");
        }
    }

    /** Pass the answer of this attempt on to the caller. */
    record Deliver(int attempt) implements RequestAction {}

    /** Cancel an attempt that is out; what it brings is dropped. */
    record Cancel(int attempt) implements RequestAction {}

    /** Answer the caller now; for a truncated answer, break the connection off. */
    record Answer(FinalAnswer answer) implements RequestAction {

        /** Checks that the answer is there. */
        public Answer {
            Objects.requireNonNull(answer, "answer is null");
        }
    }
}
