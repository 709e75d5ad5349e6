package org.oleanderturn.node;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.wire.Frame;

/**
 * Encodes control messages as frames: in MessagePack, and compressed when they carry a configuration.
 *
 * <p>Invariants: a compressed frame is sent only to a node that has sent a frame which says that it reads them; a message
 * that carries the same update as one of the last few is not encoded again. Thread safe.
 */
final class ControlFrames {
    /** A frame of a node that does not read compressed frames. */
    static final String PLAIN_KIND = "control";

    /** A frame of a node that reads compressed frames, which is not compressed itself. */
    static final String READS_COMPRESSED_KIND = "control-reads-compressed";

    static final String COMPRESSED_KIND = "control-compressed";

    private static final int KEPT_FRAMES = 4;

    /** A compressed frame and the update that its message carries. */
    private record EncodedUpdate(Class<?> message, ConfigurationUpdate update, Frame frame) {}

    private final Deque<EncodedUpdate> encoded = new ArrayDeque<>();

    /** Returns whether the sender of a frame reads compressed frames. */
    static boolean readsCompressed(Frame frame) {
        return frame.kind().equals(READS_COMPRESSED_KIND) || frame.kind().equals(COMPRESSED_KIND);
    }

    /** Decodes the message of a frame. */
    static Either<DecodeFailure, ControlMessage> decode(Frame frame) {
        return frame.kind().equals(COMPRESSED_KIND)
                ? Codec.messagePack().decodeCompressed(frame.payload(), ControlMessage.class)
                : Codec.messagePack().decode(frame.payload(), ControlMessage.class);
    }

    /**
     * Encodes a message.
     *
     * @param isCompressionRead whether the receiver reads compressed frames
     */
    Frame encode(ControlMessage message, boolean isCompressionRead) {
        Optional<ConfigurationUpdate> content = content(message);
        return isCompressionRead && content.isPresent()
                ? encodeContent(message, content.get())
                : Frame.of(READS_COMPRESSED_KIND, Codec.messagePack().encode(message));
    }

    /** Locks, so that nodes that ask at the same time don't each cost an encoding. */
    private synchronized Frame encodeContent(ControlMessage message, ConfigurationUpdate content) {
        for (EncodedUpdate known : encoded) {
            if (known.update().equals(content) && known.message().equals(message.getClass())) {
                return known.frame();
            }
        }
        Frame frame = Frame.of(COMPRESSED_KIND, Codec.messagePack().encodeCompressedFast(message));
        encoded.addFirst(new EncodedUpdate(message.getClass(), content, frame));
        if (encoded.size() > KEPT_FRAMES) {
            encoded.removeLast();
        }
        return frame;
    }

    /** Returns the update of a message that carries the content of a configuration. */
    private static Optional<ConfigurationUpdate> content(ControlMessage message) {
        return switch (message) {
            case ControlMessage.Update answer -> content(answer.update());
            case ControlMessage.Push push -> content(push.update());
            default -> Optional.empty();
        };
    }

    private static Optional<ConfigurationUpdate> content(ConfigurationUpdate update) {
        return switch (update) {
            case ConfigurationUpdate.Delta _, ConfigurationUpdate.Snapshot _ -> Optional.of(update);
            case ConfigurationUpdate.Current _, ConfigurationUpdate.Busy _ -> Optional.empty();
        };
    }
}
