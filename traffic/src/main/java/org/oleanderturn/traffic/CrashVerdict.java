package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** Whether a request may be sent to a target, by what the {@link CrashLedger} knows of it. Immutable, thread safe. */
public sealed interface CrashVerdict {

    /** No target is known to have ended under the request since it last completed. */
    record Clear() implements CrashVerdict {}

    /** Targets have ended under the request; one run of it at a time may show whether it is to blame. */
    record Suspect(int level) implements CrashVerdict {}

    /**
     * The request is refused for now.
     *
     * @param isTrial whether it is refused because another run of it is under way
     * @param remaining when it may run again
     */
    record Quarantined(int level, boolean isTrial, Duration remaining) implements CrashVerdict {

        /** Throws {@link NullPointerException} if the duration is null. */
        public Quarantined {
            Objects.requireNonNull(remaining, "remaining is null");
        }
    }
}
