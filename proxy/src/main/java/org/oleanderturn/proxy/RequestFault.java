package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.Optional;

/**
 * Why a node rejected a request before any attempt, so that no target ran it.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface RequestFault {

    /** Returns the value of {@link ProxyHeaders#REASON}: the class name in upper snake case. */
    default String name() {
        return LocalReplies.reasonOf(this);
    }

    /** Returns the delay after which a retry may succeed; empty if waiting does not help. */
    default Optional<Duration> retryAfter() {
        return switch (this) {
            case NotReady _ -> Optional.of(Duration.ofSeconds(1));
            case BodiesTooLarge _ -> Optional.of(Duration.ofSeconds(1));
            case WrongService _ -> Optional.of(Duration.ofMillis(100));
            case NoRoute _,
                    BodyTooLarge _,
                    TooManyHeaders _,
                    MissingIdempotencyKey _,
                    MalformedIdempotencyKey _,
                    IdempotencyKeyReused _,
                    MalformedHeader _ -> Optional.empty();
        };
    }

    /** No route matches the request. */
    record NoRoute() implements RequestFault {}

    /** The node has no configuration yet that it may use. */
    record NotReady() implements RequestFault {}

    /** The target of this node provides another service. */
    record WrongService() implements RequestFault {}

    /** The body is longer than the limit, in bytes. */
    record BodyTooLarge(int limitBytes) implements RequestFault {}

    /** The bodies of concurrent requests already take up the memory limit, in bytes. */
    record BodiesTooLarge(long limitBytes) implements RequestFault {}

    /** The request has more headers than the limit. */
    record TooManyHeaders(int limit) implements RequestFault {}

    /** A booking has no idempotency key. */
    record MissingIdempotencyKey() implements RequestFault {}

    /** The idempotency key is not 1 to 255 visible characters. */
    record MalformedIdempotencyKey() implements RequestFault {}

    /** The idempotency key was already used for a different booking. */
    record IdempotencyKeyReused() implements RequestFault {}

    /** The named header is required and is missing or malformed. */
    record MalformedHeader(String header) implements RequestFault {}
}
