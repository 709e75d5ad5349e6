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
    private final AtomicInteger disconnects = new AtomicInteger();
    private final LookaheadInputStream input;

    LookaheadInputStreamTest() throws IOException {
        input = LookaheadInputStream.of(new PipedInputStream(peer), executor);
    }

    @Test
    void shouldReturnTheBufferedByteFirstWhenReadAfterAWatch() throws IOException {
        input.watch(disconnects::incrementAndGet);
        peer.write(new byte[] {1, 2, 3});
        tasks.remove().run();
        input.unwatch();

        assertThat(input.available()).isEqualTo(1);
        assertThat(input.read()).isEqualTo(1);
        assertThat(input.readNBytes(2)).isEqualTo(new byte[] {2, 3});
        assertThat(disconnects.get()).isEqualTo(0);
    }

    @Test
    void shouldRunTheActionOnceWhenThePeerDisconnects() throws IOException {
        input.watch(disconnects::incrementAndGet);
        peer.close();
        tasks.remove().run();

        assertThat(disconnects.get()).isEqualTo(1);
        assertThat(input.read()).isEqualTo(-1);
    }

    @Test
    void shouldRunALaterActionImmediatelyWhenThePeerHasDisconnected() throws IOException {
        input.watch(() -> {});
        input.unwatch();
        peer.close();
        tasks.remove().run();
        input.watch(disconnects::incrementAndGet);

        assertThat(disconnects.get()).isEqualTo(1);
    }

    @Test
    void shouldNotRunTheActionWhenWatchingHasStopped() throws IOException {
        input.watch(disconnects::incrementAndGet);
        input.unwatch();
        peer.close();
        tasks.remove().run();

        assertThat(disconnects.get()).isEqualTo(0);
    }

    @Test
    void shouldReadAheadOnceWhenWatchedTwice() throws IOException {
        input.watch(() -> {});
        input.watch(disconnects::incrementAndGet);
        peer.write(7);
        tasks.remove().run();

        assertThat(tasks).isEmpty();
        assertThat(input.read()).isEqualTo(7);
    }
}
