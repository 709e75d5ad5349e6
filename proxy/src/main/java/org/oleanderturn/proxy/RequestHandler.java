package org.oleanderturn.proxy;

import java.io.IOException;

/** Handles the requests of a listener. Implementations must be thread safe: each connection calls on its own thread. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles one request and returns the response.
     *
     * @throws IOException if the request body cannot be read; the connection is then closed
     */
    Response handle(InboundRequest request) throws IOException;
}
