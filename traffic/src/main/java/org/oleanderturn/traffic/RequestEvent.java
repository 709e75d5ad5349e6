package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** What happens to a request at its entry. Immutable and thread safe. */
public sealed interface RequestEvent {

    /** The first answer byte of an attempt has come. */
    record ResponseStarted(int attempt) implements RequestEvent {}

    /** An attempt has ended, with so much time left until the deadline. */
    record AttemptEnded(int attempt, AttemptOutcome outcome, Duration remaining) implements RequestEvent {

        /** Checks that every part is there. */
        public AttemptEnded {
            Objects.requireNonNull(outcome, "outcome is null");
            Objects.requireNonNull(remaining, "remaining is null");
        }
    }

    /** The pause before a retry is over. */
    record RetryDue() implements RequestEvent {}

    /** The time after which a lookup is hedged is over. */
    record HedgeDue() implements RequestEvent {}

    /** The caller gave up. */
    record CallerCancelled() implements RequestEvent {}

    /** The deadline has passed. */
    record DeadlineExceeded() implements RequestEvent {}
}
