package org.oleanderturn.testbed;

import java.util.Objects;
import java.util.Optional;

/**
 * The result of one attempt to send a request.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface LoadAttempt {

    /**
     * No connection was established, so nothing was sent.
     *
     * @param reason the error message of the connection attempt
     */
    record NotSent(String reason) implements LoadAttempt {

        /** Throws {@link NullPointerException} when the reason is null. */
        public NotSent {
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /**
     * The request may have been sent, but no complete response was received.
     *
     * @param reason the exception or its message
     * @param isResponseStarted whether the response headers had been received
     */
    record Broken(String reason, boolean isResponseStarted) implements LoadAttempt {

        /** Throws {@link NullPointerException} when the reason is null. */
        public Broken {
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /**
     * A complete response.
     *
     * @param status the HTTP status
     * @param outcome whether the request ran, as the response states it ({@code ran}, {@code not-run} or {@code unknown});
     *     empty without that header
     * @param reason the reason for a refusal or failure; empty without that header
     * @param retryAfterMilliseconds how long to wait before the next attempt; empty without that header
     * @param version the configuration version that routed the request; empty without that header
     * @param lengthBytes the length of the body in bytes
     */
    record Complete(
            int status,
            Optional<String> outcome,
            Optional<String> reason,
            Optional<Long> retryAfterMilliseconds,
            Optional<Long> version,
            long lengthBytes)
            implements LoadAttempt {

        /** Throws {@link NullPointerException} when a component is null. */
        public Complete {
            Objects.requireNonNull(outcome, "outcome is null");
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(retryAfterMilliseconds, "retryAfterMilliseconds is null");
            Objects.requireNonNull(version, "version is null");
        }
    }
}
