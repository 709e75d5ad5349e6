package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;

/** Whether a request is within the limit of its organisation. Implementations are immutable and thread safe. */
public sealed interface LimitDecision {

    /**
     * The request is within the limit, and has been counted.
     *
     * @param untilNanoseconds until when the limiter takes the request back when it did not run, by the limiter's clock
     */
    record Granted(long untilNanoseconds) implements LimitDecision {

        /** Returns the grant of a request that no limit counts. */
        public static Granted uncounted() {
            return new Granted(Long.MIN_VALUE);
        }
    }

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
