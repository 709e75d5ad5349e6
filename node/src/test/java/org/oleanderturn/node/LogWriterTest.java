package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class LogWriterTest {
    private static final int QUEUE_CAPACITY_LINES = 8;
    private static final long CLOSE_TIMEOUT_MILLISECONDS = 10_000;

    @Test
    void shouldWriteLinesInOrderWhenAllAreAccepted() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        LogWriter writer = LogWriter.start(output, QUEUE_CAPACITY_LINES);
        assertThat(writer.offer("one")).isTrue();
        assertThat(writer.offer("two")).isTrue();
        writer.close(CLOSE_TIMEOUT_MILLISECONDS);
        assertThat(output.toString(StandardCharsets.UTF_8)).isEqualTo("one\ntwo\n");
    }

    @Test
    void shouldDropAndCountLinesWhenTheOutputBlocks() {
        CountDownLatch release = new CountDownLatch(1);
        LogWriter writer = LogWriter.start(new BlockedOutput(release), QUEUE_CAPACITY_LINES);
        int accepted = 0;
        // Together the lines exceed the capacity of the queue and of the writer's buffer.
        String line = "x".repeat(100_000);
        for (int offer = 0; offer < 100; offer++) {
            accepted += writer.offer(line) ? 1 : 0;
        }
        assertThat(accepted).isLessThan(100);
        assertThat(writer.dropped()).isEqualTo(100 - accepted);
        release.countDown();
    }

    /** An output that blocks until the latch is released. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch release;

        BlockedOutput(CountDownLatch release) {
            this.release = release;
        }

        @Override
        public void write(int octet) {
            try {
                release.await();
            } catch (InterruptedException interrupt) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
