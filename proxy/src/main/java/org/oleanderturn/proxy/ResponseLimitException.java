package org.oleanderturn.proxy;

import java.io.IOException;

/** Signals that a response exceeded a limit. Immutable, except for the stack trace. */
final class ResponseLimitException extends IOException {
    private static final long serialVersionUID = 1;

    private final UpstreamFailure.Limit limit;

    ResponseLimitException(UpstreamFailure.Limit limit) {
        super("the response exceeds the limit " + limit);
        this.limit = limit;
    }

    UpstreamFailure.Limit limit() {
        return limit;
    }
}
