package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** An event in the life of a request at its entry. Immutable and thread safe. */
public sealed interface RequestEvent {

    /**
     * The first response byte of an attempt has arrived.
     *
     * @param attempt its number
     */
    record ResponseStarted(int attempt) implements RequestEvent {}

    /**
     * An attempt has ended.
     *
     * @param attempt its number
     * @param outcome how it ended
     * @param remaining time until the deadline of the request
     */
    record AttemptEnded(int attempt, AttemptOutcome outcome, Duration remaining) implements RequestEvent {

        /** Throws {@link NullPointerException} if a component is null. */
        public AttemptEnded {
            Objects.requireNonNull(outcome, "outcome is null");
            Objects.requireNonNull(remaining, "remaining is null");
        }
    }

    /** The delay before a retry has passed. */
    record RetryDue() implements RequestEvent {}

    /** The delay after which a lookup is hedged has passed. */
    record HedgeDue() implements RequestEvent {}

    /** The caller cancelled the request. */
    record CallerCancelled() implements RequestEvent {}

    /** The deadline has passed. */
    record DeadlineExceeded() implements RequestEvent {}
}
