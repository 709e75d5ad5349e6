package org.oleanderturn.claims;

import java.time.Duration;
import java.util.Optional;
import org.oleanderturn.store.StoreFailure;

/**
 * Whether a booking may run now.
 *
 * <p>Immutable beside the handle, and thread safe.
 */
public sealed interface ClaimDecision {

    /** The claim is durable; the holder of the handle alone may run the booking. */
    record Granted(ClaimHandle handle) implements ClaimDecision {}

    /** The booking ran before; this was its whole answer. */
    record AlreadyFinished(RecordedAnswer answer) implements ClaimDecision {}

    /** The booking ran before with the given status; its answer was too large to be recorded. */
    record AlreadyFinishedUnrecorded(int status) implements ClaimDecision {}

    /**
     * Another attempt holds the key; the outcome is unknown and the booking will not run again.
     *
     * @param retryAfter when to ask again; empty when the attempt is so old that it will hardly finish
     */
    record InProgressOrUnknown(Optional<Duration> retryAfter) implements ClaimDecision {}

    /** The key was claimed by another request; this one did not run. */
    record KeyReused() implements ClaimDecision {}

    /** This attempt did not run the booking and never will. */
    record NotRun(Reason reason, Duration retryAfter) implements ClaimDecision {}

    /** Why an attempt did not run. */
    sealed interface Reason {
        /** The store gave no usable answer. */
        record StoreFailed(StoreFailure failure) implements Reason {}

        /** Others went on changing the key's record. */
        record Contended() implements Reason {}

        /** Too many settlements wait for the store. */
        record Saturated() implements Reason {}
    }
}
