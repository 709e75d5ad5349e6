package org.oleanderturn.wire;

/**
 * Answers requests.
 *
 * <p>Called by many threads at once, so an implementation has to be thread safe.
 */
@FunctionalInterface
public interface FrameHandler {

    /**
     * Returns the answer to a request.
     *
     * <p>An exception is answered as {@link RefusalKind#FAILED}.
     */
    Frame handle(Frame request);
}
