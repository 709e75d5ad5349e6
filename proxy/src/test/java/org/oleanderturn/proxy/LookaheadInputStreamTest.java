package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class LookaheadInputStreamTest {
    private final PipedOutputStream peer = new PipedOutputStream();
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final Executor executor = tasks::add;
    private final AtomicInteger ends = new AtomicInteger();
    private final LookaheadInputStream input;

    LookaheadInputStreamTest() throws IOException {
        input = LookaheadInputStream.of(new PipedInputStream(peer), executor);
    }

    @Test
    void shouldReturnTheByteAheadFirstWhenReadAfterAWatch() throws IOException {
        input.watch(ends::incrementAndGet);
        peer.write(new byte[] {1, 2, 3});
        tasks.remove().run();
        input.unwatch();

        assertThat(input.available()).isEqualTo(1);
        assertThat(input.read()).isEqualTo(1);
        assertThat(input.readNBytes(2)).isEqualTo(new byte[] {2, 3});
        assertThat(ends.get()).isEqualTo(0);
    }

    @Test
    void shouldRunTheActionOnceWhenThePeerGoesAway() throws IOException {
        input.watch(ends::incrementAndGet);
        peer.close();
        tasks.remove().run();

        assertThat(ends.get()).isEqualTo(1);
        assertThat(input.read()).isEqualTo(-1);
    }

    @Test
    void shouldRunALaterActionAtOnceWhenThePeerIsGone() throws IOException {
        input.watch(() -> {});
        input.unwatch();
        peer.close();
        tasks.remove().run();
        input.watch(ends::incrementAndGet);

        assertThat(ends.get()).isEqualTo(1);
    }

    @Test
    void shouldNotRunTheActionWhenItIsNoLongerWatched() throws IOException {
        input.watch(ends::incrementAndGet);
        input.unwatch();
        peer.close();
        tasks.remove().run();

        assertThat(ends.get()).isEqualTo(0);
    }

    @Test
    void shouldReadAheadOnceWhenWatchedTwice() throws IOException {
        input.watch(() -> {});
        input.watch(ends::incrementAndGet);
        peer.write(7);
        tasks.remove().run();

        assertThat(tasks).isEmpty();
        assertThat(input.read()).isEqualTo(7);
    }
}
