package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Service;
import org.oleanderturn.wire.Frame;

final class ControlFramesTest {
    private static final ConfigurationUpdate CONTENT = new ConfigurationUpdate.Snapshot(ConfigurationSnapshot.of(
            ConfigurationVersion.of(1),
            Configuration.of(
                    IntStream.range(0, 1_000)
                            .mapToObj(number -> Service.of("service-" + number, 1, 1))
                            .toList(),
                    List.of(),
                    List.of())));
    private static final ControlMessage PUSH = new ControlMessage.Push(Address.of("127.0.0.1", 1), CONTENT);

    private final ControlFrames frames = new ControlFrames();

    @Test
    void shouldCompressContentForANodeThatReadsIt() {
        Frame plain = frames.encode(PUSH, false);
        Frame compressed = frames.encode(PUSH, true);
        assertThat(compressed.payload().length * 4).isLessThan(plain.payload().length);
        assertThat(ControlFrames.decode(plain).get()).isEqualTo(PUSH);
        assertThat(ControlFrames.decode(compressed).get()).isEqualTo(PUSH);
    }

    @Test
    void shouldTellThatCompressedFramesAreReadWithEveryFrame() {
        assertThat(ControlFrames.readsCompressed(frames.encode(PUSH, false))).isTrue();
        assertThat(ControlFrames.readsCompressed(frames.encode(PUSH, true))).isTrue();
        assertThat(ControlFrames.readsCompressed(Frame.of(ControlFrames.PLAIN_KIND, new byte[0])))
                .isFalse();
    }

    @Test
    void shouldEncodeAnUpdateOnceForEachKindOfMessage() {
        Frame push = frames.encode(PUSH, true);
        Frame answer = frames.encode(new ControlMessage.Update(CONTENT), true);
        assertThat(frames.encode(new ControlMessage.Push(Address.of("127.0.0.1", 1), CONTENT), true))
                .isSameInstanceAs(push);
        assertThat(frames.encode(new ControlMessage.Update(CONTENT), true)).isSameInstanceAs(answer);
        assertThat(ControlFrames.decode(answer).get()).isEqualTo(new ControlMessage.Update(CONTENT));
    }

    @Test
    void shouldReportAFailureWhenACompressedFrameIsBroken() {
        assertThat(ControlFrames.decode(Frame.of(ControlFrames.COMPRESSED_KIND, new byte[] {1, 2, 3}))
                        .isLeft())
                .isTrue();
    }
}
