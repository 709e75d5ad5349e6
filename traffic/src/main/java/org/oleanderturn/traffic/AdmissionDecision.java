package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** The guard's answer to a request for a slot. Immutable and thread safe. */
public sealed interface AdmissionDecision {

    /** A decision that stands. */
    sealed interface Settled extends AdmissionDecision {}

    /** Run it now, and release the permit when it has ended. */
    record Admitted(Permit permit) implements Settled {

        /** Checks that the permit is there. */
        public Admitted {
            Objects.requireNonNull(permit, "permit is null");
        }
    }

    /** It waits; the ticket tells when it is admitted or refused. */
    record Queued(AdmissionTicket ticket) implements AdmissionDecision {

        /** Checks that the ticket is there. */
        public Queued {
            Objects.requireNonNull(ticket, "ticket is null");
        }
    }

    /** It did not run and will not; the caller may come back after the stated time. */
    record Refused(NotRunReason reason, Duration retryAfter) implements Settled {

        /** Checks that both parts are there. */
        public Refused {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }
}
