package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;

/** Whether a request is within the limit of its organisation. Implementations are immutable and thread safe. */
public sealed interface LimitDecision {

    /** The request is within the limit, and has been counted. */
    record Granted() implements LimitDecision {}

    /** The limit is used up; a further request is expected to be within it after some time. */
    record Exceeded(Duration retryAfter) implements LimitDecision {

        /** Throws a {@link NullPointerException} when the time is null. */
        public Exceeded {
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /** The node can't tell whether the request is within the limit, and expects to be able to after some time. */
    record Undetermined(Duration retryAfter) implements LimitDecision {

        /** Throws a {@link NullPointerException} when the time is null. */
        public Undetermined {
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }
}
