package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * How one attempt of a request ended, as its entry saw it.
 *
 * <p>Invariant: only {@link NotRun} says that the target never saw the request. Immutable and thread safe.
 */
public sealed interface AttemptOutcome {

    /** Returns whether the target may have run the request. */
    default boolean mayHaveRun() {
        return !(this instanceof NotRun);
    }

    /** The whole answer came back. */
    record Succeeded() implements AttemptOutcome {}

    /** The target never saw the request. */
    record NotRun(NotRunReason reason, Duration retryAfter) implements AttemptOutcome {

        /** Checks that both parts are there. */
        public NotRun {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /** The target answered with an error of its own before the first answer byte went to the caller. */
    record Failed() implements AttemptOutcome {}

    /** The target died while it ran the request. */
    record TargetCrashed() implements AttemptOutcome {}

    /** The request was sent and no answer came. */
    record Unknown() implements AttemptOutcome {}

    /** The answer broke off after its first byte had gone to the caller. */
    record ResponseTruncated() implements AttemptOutcome {}

    /** The entry cancelled the attempt: its caller gave up, or another attempt answered first. */
    record Cancelled() implements AttemptOutcome {}
}
