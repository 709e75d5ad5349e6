package org.oleanderturn.wire;

import java.util.Objects;

/**
 * A message between two nodes.
 *
 * <p>Immutable and thread safe, provided that the payload's bytes are not modified.
 *
 * @param kind the type of the payload; {@value #REFUSAL_KIND} is reserved
 * @param payload the encoded message
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(String kind, byte[] payload) {
    static final String REFUSAL_KIND = "refusal";

    /** Rejects a null kind or payload. */
    public Frame {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(payload, "payload is null");
    }

    /** Returns a frame with the given kind and payload. */
    public static Frame of(String kind, byte[] payload) {
        return new Frame(kind, payload);
    }

    boolean isRefusal() {
        return kind.equals(REFUSAL_KIND);
    }
}
