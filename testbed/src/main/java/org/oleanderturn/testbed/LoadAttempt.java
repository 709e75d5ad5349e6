package org.oleanderturn.testbed;

import java.util.Objects;
import java.util.Optional;

/**
 * What one sending of a request came to.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface LoadAttempt {

    /**
     * No connection came about, so nothing was sent.
     *
     * @param reason what the operating system said
     */
    record NotSent(String reason) implements LoadAttempt {

        /** Checks that the reason is there. */
        public NotSent {
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /**
     * The request went out, and no whole answer came back.
     *
     * @param reason what broke
     * @param isBegun whether the answer had begun
     */
    record Broken(String reason, boolean isBegun) implements LoadAttempt {

        /** Checks that the reason is there. */
        public Broken {
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /**
     * A whole answer.
     *
     * @param status the HTTP status
     * @param outcome what the answer says became of the request; empty when it does not say
     * @param reason the type of a refusal or failure
     * @param retryAfterMilliseconds when to come back
     * @param version the configuration version that routed the request
     * @param lengthBytes the length of the body
     */
    record Whole(
            int status,
            Optional<String> outcome,
            Optional<String> reason,
            Optional<Long> retryAfterMilliseconds,
            Optional<Long> version,
            long lengthBytes)
            implements LoadAttempt {

        /** Checks that every part is there. */
        public Whole {
            Objects.requireNonNull(outcome, "outcome is null");
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(retryAfterMilliseconds, "retryAfterMilliseconds is null");
            Objects.requireNonNull(version, "version is null");
        }
    }
}
