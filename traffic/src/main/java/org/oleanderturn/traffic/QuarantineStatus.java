package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** Status of a request in the {@link CrashQuarantine}. Immutable and thread safe. */
public sealed interface QuarantineStatus {

    /** The request is not known to crash targets. */
    record Clear() implements QuarantineStatus {}

    /** The request was in flight when a target crashed, or its quarantine has expired: it must run exclusively. */
    record Suspect() implements QuarantineStatus {}

    /**
     * The request crashed a target while it ran exclusively, and is refused immediately.
     *
     * @param record why, and until when
     * @param retryAfter when the caller may retry
     */
    record Quarantined(QuarantineRecord record, Duration retryAfter) implements QuarantineStatus {

        /** Throws {@link NullPointerException} if a component is null. */
        public Quarantined {
            Objects.requireNonNull(record, "record is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }
}
