package org.oleanderturn.proxy;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** A request as a listener received it; used by one thread. */
public interface InboundRequest {

    /** Returns the HTTP method. */
    String method();

    /** Returns the path with its query. */
    String path();

    /** Returns every header, in order. */
    List<HeaderField> headers();

    /** Returns the value of the first header with the given name. */
    default Optional<String> header(String name) {
        return HeaderField.find(headers(), name);
    }

    /**
     * Reads the whole body, telling a waiting peer to send it first.
     *
     * @param limitBytes the longest body that is taken
     * @return the body; empty when it is longer than the limit
     * @throws IOException when the body ends early
     */
    Optional<byte[]> readBody(int limitBytes) throws IOException;

    /**
     * Reads the whole body from a sender that may stop; the sender gets the go-ahead if it waits for it.
     *
     * @param longest the longest wait for the next bytes, if it is shorter than the listener's own
     * @return the body; empty when it is longer than the limit
     * @throws IOException when the body ends early or its next bytes don't come in time
     */
    Optional<byte[]> readBody(int limitBytes, Duration longest) throws IOException;

    /**
     * Runs the action once if the peer goes away before the answer is written.
     *
     * @throws IOException when the connection is broken already
     */
    void onPeerDisconnect(Runnable action) throws IOException;
}
