package org.oleanderturn.http;

import java.io.IOException;

/** Signals that the head of a response is one that HTTP does not allow. Immutable and thread safe. */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates an exception; the message must not repeat what the peer sent. */
    MalformedResponseException(String message) {
        super(message);
    }
}
