package org.oleanderturn.wire;

/**
 * What came of reading one frame.
 *
 * <p>Immutable and thread safe.
 */
sealed interface FrameReadResult {

    /** A whole frame; the size counts the length prefix. */
    record Complete(Frame frame, long bytes) implements FrameReadResult {}

    /** The connection ended; no byte of the frame had arrived. */
    record Closed(String reason) implements FrameReadResult {}

    /** The connection ended within the frame. */
    record Truncated(String reason) implements FrameReadResult {}

    /** No byte of the frame arrived in time. */
    record IdleTimeout() implements FrameReadResult {}

    /** The frame's first bytes arrived and the rest did not in time. */
    record Stalled() implements FrameReadResult {}

    /** The length prefix is above the bound or negative. */
    record Oversize(long actualBytes) implements FrameReadResult {}

    /** The frame's bytes are not its encoding. */
    record Malformed(String reason) implements FrameReadResult {}
}
