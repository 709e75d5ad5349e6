package org.oleanderturn.wire;

/**
 * The result of reading one frame.
 *
 * <p>Immutable and thread safe.
 */
sealed interface FrameReadResult {

    /** A complete frame; its size includes the length prefix. */
    record Complete(Frame frame, long bytes) implements FrameReadResult {}

    /** The connection was closed before the first byte of the frame. */
    record Closed(String reason) implements FrameReadResult {}

    /** The connection was closed before the last byte of the frame. */
    record Truncated(String reason) implements FrameReadResult {}

    /** The first byte of the frame did not arrive in time. */
    record IdleTimeout() implements FrameReadResult {}

    /** The frame started to arrive but was not complete in time. */
    record Stalled() implements FrameReadResult {}

    /** The length prefix exceeds the limit or is negative; the size is the prefix as an unsigned number. */
    record Oversize(long actualBytes) implements FrameReadResult {}

    /** The bytes are not a validly encoded frame. */
    record Malformed(String reason) implements FrameReadResult {}
}
