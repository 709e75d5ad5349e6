package org.oleanderturn.wire;

import java.util.Objects;

/**
 * One message between two nodes.
 *
 * <p>The payload's bytes are not to be changed. Thread safe under that condition.
 *
 * @param kind says which protocol step the payload belongs to; {@value #REFUSAL_KIND} is reserved
 * @param payload the encoded message
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(String kind, byte[] payload) {
    static final String REFUSAL_KIND = "refusal";

    /** Checks that both parts are there. */
    public Frame {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(payload, "payload is null");
    }

    /** Returns the frame of the given kind and payload. */
    public static Frame of(String kind, byte[] payload) {
        return new Frame(kind, payload);
    }

    boolean isRefusal() {
        return kind.equals(REFUSAL_KIND);
    }
}
