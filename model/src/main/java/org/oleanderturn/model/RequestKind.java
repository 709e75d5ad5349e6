package org.oleanderturn.model;

import java.util.Optional;

/** The kind of a route's requests, which determines whether they may be repeated and how long they occupy a slot. */
public enum RequestKind {
    /** Short and idempotent: may be retried and hedged. */
    LOOKUP,
    /** Not idempotent: runs at most once per idempotency key. */
    BOOKING,
    /** Not idempotent and without an idempotency key: each attempt of the client runs at most once. */
    SINGLE,
    /** Long and idempotent: may be retried before the first byte of the response, and is never hedged. */
    DOWNLOAD,
    /** Not idempotent, with a long body: each attempt of the client runs at most once, and no idempotency key is needed. */
    UPLOAD;

    /** Returns the kind with the given constant name; empty when there is none. */
    public static Optional<RequestKind> parse(String name) {
        for (RequestKind kind : values()) {
            if (kind.name().equals(name)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a request of this kind may run more than once. */
    public boolean isIdempotent() {
        return switch (this) {
            case LOOKUP, DOWNLOAD -> true;
            case BOOKING, SINGLE, UPLOAD -> false;
        };
    }

    /** Returns whether each attempt of a client runs at most once, without an idempotency key that joins attempts. */
    public boolean isOncePerAttempt() {
        return this == SINGLE || this == UPLOAD;
    }
}
