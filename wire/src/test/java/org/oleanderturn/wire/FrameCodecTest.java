package org.oleanderturn.wire;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.DecodeFailure;

final class FrameCodecTest {
    private static final List<String> KINDS =
            List.of("", "control", "k".repeat(31), "k".repeat(32), "k".repeat(300), "é");
    private static final List<Integer> PAYLOAD_SIZES = List.of(0, 1, 255, 256, 65_535, 65_536);

    @Test
    void shouldEncodeAsTheCodecDoesWhenKindsAndSizesDiffer() {
        for (Frame frame : frames()) {
            assertThat(FrameCodec.encode(frame)).isEqualTo(Codec.messagePack().encode(frame));
        }
    }

    @Test
    void shouldDecodeWhatTheCodecEncodedWhenKindsAndSizesDiffer() {
        for (Frame frame : frames()) {
            Frame decoded = FrameCodec.decode(Codec.messagePack().encode(frame)).get();
            assertThat(decoded.kind()).isEqualTo(frame.kind());
            assertThat(decoded.payload()).isEqualTo(frame.payload());
        }
    }

    @Test
    void shouldDecodeAsTheCodecDoesWhenFieldsAreOtherwiseEncoded() {
        byte[] payload = {1, 2, 3};
        assertSameAsCodec(Codec.messagePack().encode(Map.of("kind", "control")));
        assertSameAsCodec(Codec.messagePack().encode(Map.of("kind", "control", "other", payload)));
        assertSameAsCodec(Codec.messagePack().encode(Map.of("kind", "control", "payload", "text")));
        assertSameAsCodec(Codec.messagePack().encode(Map.of("kind", "control", "payload", payload, "z", 1)));
        assertSameAsCodec(new byte[0]);
    }

    @Test
    void shouldDecodeAsTheCodecDoesWhenBytesAreCutOrChanged() {
        SplittableRandom random = new SplittableRandom(7);
        byte[] encoded = Codec.messagePack().encode(Frame.of("control", new byte[] {1, 2, 3, 4}));
        for (int length = 0; length < encoded.length; length++) {
            assertSameAsCodec(Arrays.copyOf(encoded, length));
        }
        for (int round = 0; round < 2_000; round++) {
            byte[] changed = encoded.clone();
            changed[random.nextInt(changed.length)] = (byte) random.nextInt();
            assertSameAsCodec(changed);
        }
        assertSameAsCodec(Arrays.copyOf(encoded, encoded.length + 1));
    }

    private static List<Frame> frames() {
        return KINDS.stream()
                .flatMap(kind -> PAYLOAD_SIZES.stream().map(size -> Frame.of(kind, bytes(size))))
                .toList();
    }

    private static byte[] bytes(int size) {
        byte[] bytes = new byte[size];
        Arrays.fill(bytes, (byte) 7);
        return bytes;
    }

    private static void assertSameAsCodec(byte[] bytes) {
        Either<DecodeFailure, Frame> expected = Codec.messagePack().decode(bytes, Frame.class);
        Either<DecodeFailure, Frame> actual = FrameCodec.decode(bytes);
        assertThat(actual.isRight()).isEqualTo(expected.isRight());
        if (expected.isRight()) {
            assertThat(actual.get().kind()).isEqualTo(expected.get().kind());
            assertThat(actual.get().payload()).isEqualTo(expected.get().payload());
        }
    }
}
