package org.oleanderturn.proxy;

import java.io.IOException;

/** Answers the requests of a listener; called on a thread of its own for each request. Implementations are thread safe. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Answers one request.
     *
     * @throws IOException when the request's body can't be read, after which the connection is closed
     */
    Response handle(InboundRequest request) throws IOException;
}
