package org.oleanderturn.claims;

import java.time.Duration;
import java.util.Optional;
import org.oleanderturn.store.StoreFailure;

/**
 * Whether a booking may run now.
 *
 * <p>Immutable except for the handle. Thread safe.
 */
public sealed interface ClaimDecision {

    /** The claim is durable; only the holder of the handle may run the booking. */
    record Granted(ClaimHandle handle) implements ClaimDecision {}

    /** The booking has already run, with this complete answer. */
    record AlreadyFinished(RecordedAnswer answer) implements ClaimDecision {}

    /** The booking has already run with the given status; its answer was too large to be recorded. */
    record AlreadyFinishedUnrecorded(int status) implements ClaimDecision {}

    /**
     * Another attempt holds the key; the outcome is unknown and the booking will not run again.
     *
     * @param retryAfter when to retry; empty if the other attempt is so old that it is unlikely to finish
     */
    record InProgressOrUnknown(Optional<Duration> retryAfter) implements ClaimDecision {}

    /** The key was already used for a different request; this one did not run. */
    record KeyReused() implements ClaimDecision {}

    /** This attempt did not run the booking and will not run it. */
    record NotRun(Reason reason, Duration retryAfter) implements ClaimDecision {}

    /** Why an attempt was not granted. */
    sealed interface Reason {
        /** The store returned no usable answer. */
        record StoreFailed(StoreFailure failure) implements Reason {}

        /** Other attempts kept changing the key's record. */
        record Contended() implements Reason {}

        /** Too many settlements are pending. */
        record Saturated() implements Reason {}
    }
}
