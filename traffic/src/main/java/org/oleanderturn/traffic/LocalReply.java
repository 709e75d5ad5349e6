package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Reply that the entry itself sends when it gives a request up.
 *
 * <p>Invariant: the status is {@link Status#NOT_RUN} only if no attempt can have run. Immutable and thread safe.
 *
 * @param status what happened to the request
 * @param retryAfter when the caller may retry; empty if a retry is of no use
 */
public record LocalReply(Status status, Optional<Duration> retryAfter) {

    /** Throws {@link NullPointerException} if a component is null. */
    public LocalReply {
        Objects.requireNonNull(status, "status is null");
        Objects.requireNonNull(retryAfter, "retryAfter is null");
    }

    /** Returns a reply that tells the caller when to retry. */
    public static LocalReply of(Status status, Duration retryAfter) {
        return new LocalReply(status, Optional.of(retryAfter));
    }

    /** Returns a reply without a retry-after time. */
    public static LocalReply of(Status status) {
        return new LocalReply(status, Optional.empty());
    }

    /** What happened to a request that was given up. */
    public enum Status {
        /** No target received the request. */
        NOT_RUN,
        /** A target ran the request and responded with an error. */
        FAILED,
        /** The request may have run in full, in part or not at all. */
        OUTCOME_UNKNOWN,
        /** Part of the response reached the caller; its connection is closed. */
        TRUNCATED,
        /** The caller cancelled the request. */
        CANCELLED
    }
}
