package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Whether a request got a slot.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface SlotDecision {
    /** The request holds a slot and may run. */
    record Granted() implements SlotDecision {}

    /**
     * The request holds no slot and never will.
     *
     * @param expectedWait how long a slot was expected to take
     */
    record Refused(Reason reason, Duration expectedWait) implements SlotDecision {

        /** Checks that every part is there. */
        public Refused {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(expectedWait, "expectedWait is null");
        }
    }

    /** Why a request got no slot. */
    enum Reason {
        /** The target takes no work. */
        CLOSED,
        /** The wait would be too long. */
        FULL,
        /** Nobody waits for the request any more, or its time ran out in the queue. */
        WITHDRAWN
    }
}
