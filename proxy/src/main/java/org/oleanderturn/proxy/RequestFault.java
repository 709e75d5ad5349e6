package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.Optional;

/**
 * Why a node refuses a request before any attempt; none ran.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface RequestFault {

    /** Returns the fault's name, as it stands in {@link ProxyHeaders#REASON}. */
    default String name() {
        return LocalReplies.reasonOf(this);
    }

    /** Returns when coming back may help. */
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

    /** No route takes the request. */
    record NoRoute() implements RequestFault {}

    /** The node holds no configuration that it may serve yet. */
    record NotReady() implements RequestFault {}

    /** The request came to a node whose target answers for another service. */
    record WrongService() implements RequestFault {}

    /** The body is longer than a node takes; the limit is in bytes. */
    record BodyTooLarge(int limitBytes) implements RequestFault {}

    /** The bodies that the entry holds leave no room for another. */
    record BodiesTooLarge(long limitBytes) implements RequestFault {}

    /** The request has more headers than are passed on. */
    record TooManyHeaders(int limit) implements RequestFault {}

    /** A booking came without an idempotency key. */
    record MissingIdempotencyKey() implements RequestFault {}

    /** The idempotency key is not 1 to 255 visible characters. */
    record MalformedIdempotencyKey() implements RequestFault {}

    /** The idempotency key was used for another booking. */
    record IdempotencyKeyReused() implements RequestFault {}

    /** A header that the node needs has another form. */
    record MalformedHeader(String header) implements RequestFault {}
}
