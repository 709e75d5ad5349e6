package org.oleanderturn.wire;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.DecodeFailure;

/**
 * Encodes frames in MessagePack, as a map of the kind, a string, and the payload, binary, and decodes them.
 *
 * <p>Invariant: encodes and decodes exactly as {@link Codec#messagePack} does. Frames in the usual encoding are read and
 * written without a parser, as there are hundreds a second; all others are left to the codec. Stateless and thread safe.
 */
final class FrameCodec {
    private static final byte MAP_OF_TWO = (byte) 0x82;
    private static final int SHORT_STRING = 0xa0;
    private static final int LONGEST_SHORT_STRING = 31;
    private static final byte BINARY_8 = (byte) 0xc4;
    private static final byte BINARY_16 = (byte) 0xc5;
    private static final byte BINARY_32 = (byte) 0xc6;
    private static final int BINARY_HEADER_BYTES = 5;
    private static final byte[] KIND = shortString("kind");
    private static final byte[] PAYLOAD = shortString("payload");

    private FrameCodec() {}

    // -- core operations

    static byte[] encode(Frame frame) {
        byte[] kind = frame.kind().getBytes(UTF_8);
        if (kind.length > LONGEST_SHORT_STRING) {
            return Codec.messagePack().encode(frame);
        }
        byte[] payload = frame.payload();
        ByteBuffer buffer = ByteBuffer.allocate(
                1 + KIND.length + 1 + kind.length + PAYLOAD.length + BINARY_HEADER_BYTES + payload.length);
        buffer.put(MAP_OF_TWO)
                .put(KIND)
                .put((byte) (SHORT_STRING | kind.length))
                .put(kind)
                .put(PAYLOAD);
        putBinaryHeader(buffer, payload.length);
        buffer.put(payload);
        return Arrays.copyOf(buffer.array(), buffer.position());
    }

    static Either<DecodeFailure, Frame> decode(byte[] bytes) {
        return decodeUsual(ByteBuffer.wrap(bytes))
                .<Either<DecodeFailure, Frame>>map(Either::right)
                .orElseGet(() -> Codec.messagePack().decode(bytes, Frame.class));
    }

    // -- the usual encoding

    private static void putBinaryHeader(ByteBuffer buffer, int length) {
        if (length <= 0xff) {
            buffer.put(BINARY_8).put((byte) length);
        } else if (length <= 0xffff) {
            buffer.put(BINARY_16).putShort((short) length);
        } else {
            buffer.put(BINARY_32).putInt(length);
        }
    }

    /** Returns the frame; empty if the bytes are malformed or encoded in another way. */
    private static Optional<Frame> decodeUsual(ByteBuffer buffer) {
        if (!buffer.hasRemaining() || buffer.get() != MAP_OF_TWO || !skip(buffer, KIND)) {
            return Optional.empty();
        }
        Optional<String> kind = shortAscii(buffer);
        if (kind.isEmpty() || !skip(buffer, PAYLOAD)) {
            return Optional.empty();
        }
        int length = binaryLength(buffer);
        if (length < 0 || length != buffer.remaining()) {
            return Optional.empty();
        }
        byte[] payload = new byte[length];
        buffer.get(payload);
        return Optional.of(Frame.of(kind.get(), payload));
    }

    private static boolean skip(ByteBuffer buffer, byte[] expected) {
        if (buffer.remaining() < expected.length) {
            return false;
        }
        for (byte next : expected) {
            if (buffer.get() != next) {
                return false;
            }
        }
        return true;
    }

    private static Optional<String> shortAscii(ByteBuffer buffer) {
        if (!buffer.hasRemaining()) {
            return Optional.empty();
        }
        int length = Byte.toUnsignedInt(buffer.get()) - SHORT_STRING;
        if (length < 0 || length > LONGEST_SHORT_STRING || length > buffer.remaining()) {
            return Optional.empty();
        }
        byte[] text = new byte[length];
        buffer.get(text);
        for (byte next : text) {
            if (next < 0) {
                return Optional.empty();
            }
        }
        return Optional.of(new String(text, US_ASCII));
    }

    /** Returns the length of a binary; negative if there is none. */
    private static int binaryLength(ByteBuffer buffer) {
        if (buffer.remaining() < 2) {
            return -1;
        }
        byte type = buffer.get();
        if (type == BINARY_8) {
            return Byte.toUnsignedInt(buffer.get());
        }
        if (type == BINARY_16 && buffer.remaining() >= Short.BYTES) {
            return Short.toUnsignedInt(buffer.getShort());
        }
        return type == BINARY_32 && buffer.remaining() >= Integer.BYTES ? buffer.getInt() : -1;
    }

    private static byte[] shortString(String text) {
        byte[] bytes = text.getBytes(US_ASCII);
        return ByteBuffer.allocate(1 + bytes.length)
                .put((byte) (SHORT_STRING | bytes.length))
                .put(bytes)
                .array();
    }
}
