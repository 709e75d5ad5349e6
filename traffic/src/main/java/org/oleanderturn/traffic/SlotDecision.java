package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** Result of a request for a slot. Immutable and thread safe. */
public sealed interface SlotDecision {
    /** The request holds a slot and may run. */
    record Granted() implements SlotDecision {}

    /**
     * The request holds no slot and will not get one.
     *
     * @param reason why
     * @param expectedWait estimated wait for a slot at the time of refusal
     */
    record Refused(Reason reason, Duration expectedWait) implements SlotDecision {

        /** Throws {@link NullPointerException} if a component is null. */
        public Refused {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(expectedWait, "expectedWait is null");
        }
    }

    /** Why a request was refused a slot. */
    enum Reason {
        /** The target accepts no requests. */
        CLOSED,
        /** On arrival, the expected wait exceeded the maximum wait of the request. */
        FULL,
        /** The request waited until the expected wait exceeded its maximum wait, as others were served before it. */
        OVERTAKEN,
        /** The target limits its rate, and the expected wait exceeds the maximum wait of the request. */
        RATE_LIMITED,
        /** A newer configuration removed the key that the request was sent with. */
        KEY_REMOVED,
        /** The target sheds everything that it is sent, and gets nothing for a moment. */
        SHEDDING,
        /** The caller cancelled the request, or its time ran out in the queue. */
        WITHDRAWN
    }
}
