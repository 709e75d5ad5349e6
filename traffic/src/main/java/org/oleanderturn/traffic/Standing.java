package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/** How a request stands with the crash quarantine. Immutable and thread safe. */
public sealed interface Standing {

    /** Nothing is held against it. */
    record Clear() implements Standing {}

    /** It was in flight when a target died: it runs alone. */
    record Suspect() implements Standing {}

    /** It crashed a target alone: it is answered at once, with the time after which it is tried again. */
    record Convicted(Conviction conviction, Duration retryAfter) implements Standing {

        /** Checks that both parts are there. */
        public Convicted {
            Objects.requireNonNull(conviction, "conviction is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }
}
