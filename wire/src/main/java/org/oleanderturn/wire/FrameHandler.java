package org.oleanderturn.wire;

/**
 * Handles the requests that a {@link FrameServer} receives.
 *
 * <p>Called concurrently, so implementations must be thread safe.
 */
@FunctionalInterface
public interface FrameHandler {

    /**
     * Returns the answer to a request.
     *
     * <p>If it throws an exception, the server answers with {@link RefusalKind#FAILED}.
     */
    Frame handle(Frame request);
}
