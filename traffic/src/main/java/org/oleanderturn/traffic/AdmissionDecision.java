package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** Result of submitting a request to an {@link AdmissionController}. Immutable and thread safe. */
public sealed interface AdmissionDecision {

    /** A final decision: admitted or refused. */
    sealed interface Settled extends AdmissionDecision {}

    /** The request may run now; the permit must be released when it has ended. */
    record Admitted(Permit permit) implements Settled {

        /** Throws {@link NullPointerException} if the permit is null. */
        public Admitted {
            Objects.requireNonNull(permit, "permit is null");
        }
    }

    /** The request is queued; the ticket completes when it is admitted or refused. */
    record Queued(AdmissionTicket ticket) implements AdmissionDecision {

        /** Throws {@link NullPointerException} if the ticket is null. */
        public Queued {
            Objects.requireNonNull(ticket, "ticket is null");
        }
    }

    /** The request did not run and will not; the caller may retry after the given time. */
    record Refused(NotRunReason reason, Duration retryAfter) implements Settled {

        /** Throws {@link NullPointerException} if a component is null. */
        public Refused {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }
}
