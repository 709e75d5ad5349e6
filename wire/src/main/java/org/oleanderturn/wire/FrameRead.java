package org.oleanderturn.wire;

/**
 * What came of reading one frame.
 *
 * <p>Immutable and thread safe.
 */
sealed interface FrameRead {

    /** A whole frame; the size counts the length prefix. */
    record Whole(Frame frame, long bytes) implements FrameRead {}

    /** The connection ended; no byte of the frame had arrived. */
    record Ended(String reason) implements FrameRead {}

    /** The connection ended within the frame. */
    record Truncated(String reason) implements FrameRead {}

    /** No byte of the frame arrived in time. */
    record Silent() implements FrameRead {}

    /** The frame's first bytes arrived and the rest did not in time. */
    record Stalled() implements FrameRead {}

    /** The length prefix is above the bound or negative. */
    record Oversize(long foundBytes) implements FrameRead {}

    /** The frame's bytes are not its encoding. */
    record Malformed(String reason) implements FrameRead {}
}
