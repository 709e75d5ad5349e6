package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** How a request stands with the crash quarantine. Immutable and thread safe. */
public sealed interface QuarantineStatus {

    /** Nothing is held against it. */
    record Clear() implements QuarantineStatus {}

    /** It was in flight when a target died: it runs alone. */
    record Suspect() implements QuarantineStatus {}

    /** It crashed a target alone: it is answered at once, with the time after which it is tried again. */
    record Quarantined(QuarantineRecord record, Duration retryAfter) implements QuarantineStatus {

        /** Checks that both parts are there. */
        public Quarantined {
            Objects.requireNonNull(record, "conviction is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }
}
