package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * How one attempt of a request ended, as seen by its entry.
 *
 * <p>Invariant: only {@link NotRun} guarantees that the target did not receive the request. Immutable and thread
 * safe.
 */
public sealed interface AttemptOutcome {

    /** Returns whether the target may have run the request. */
    default boolean mayHaveRun() {
        return !(this instanceof NotRun);
    }

    /** The complete response arrived. */
    record Succeeded() implements AttemptOutcome {}

    /**
     * The target did not receive the request.
     *
     * @param reason why
     * @param retryAfter when the endpoint may be tried again; zero if unknown
     */
    record NotRun(NotRunReason reason, Duration retryAfter) implements AttemptOutcome {

        /** Throws {@link NullPointerException} if a component is null. */
        public NotRun {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /** The target responded with an error of its own, of which nothing was sent to the caller. */
    record Failed() implements AttemptOutcome {}

    /** The target crashed while it ran the request. */
    record TargetCrashed() implements AttemptOutcome {}

    /** The request was sent and no response arrived. */
    record Unknown() implements AttemptOutcome {}

    /** The response broke off after its first byte was sent to the caller. */
    record ResponseTruncated() implements AttemptOutcome {}

    /** The entry cancelled the attempt, as the caller cancelled the request or another attempt responded first. */
    record Cancelled() implements AttemptOutcome {}
}
