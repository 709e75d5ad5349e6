package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What a caller is told, at once, when its request is given up.
 *
 * <p>Invariant: {@link Status#NOT_RUN} only when no attempt can have run. Immutable and thread safe.
 *
 * @param status what became of the request
 * @param retryAfter when the caller may come back; empty when coming back is of no use
 */
public record LocalReply(Status status, Optional<Duration> retryAfter) {

    /** Checks that both parts are there. */
    public LocalReply {
        Objects.requireNonNull(status, "status is null");
        Objects.requireNonNull(retryAfter, "retryAfter is null");
    }

    /** Returns an answer with a time to come back. */
    public static LocalReply of(Status status, Duration retryAfter) {
        return new LocalReply(status, Optional.of(retryAfter));
    }

    /** Returns an answer after which coming back is of no use. */
    public static LocalReply of(Status status) {
        return new LocalReply(status, Optional.empty());
    }

    /** What became of a request that was given up. */
    public enum Status {
        /** No target saw the request. */
        NOT_RUN,
        /** A target ran the request and failed. */
        FAILED,
        /** The request may have run, wholly or not at all. */
        OUTCOME_UNKNOWN,
        /** Part of the answer reached the caller; the connection is broken off. */
        TRUNCATED,
        /** The caller gave up. */
        CANCELLED
    }
}
