package org.oleanderturn.model;

import java.util.Optional;

/** What a route's requests are, which decides whether they may be repeated and how long they hold a slot. */
public enum RequestKind {
    /** Short and idempotent: may be retried and hedged. */
    LOOKUP,
    /** Not idempotent: runs at most once under its idempotency key. */
    BOOKING,
    /** Not idempotent and without a key: each client attempt runs at most once. */
    SINGLE,
    /** Long and idempotent: may be retried before its first answer byte, never hedged. */
    DOWNLOAD;

    /** Returns the kind with the given name; empty when there is none. */
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
        return this != BOOKING && this != SINGLE;
    }
}
