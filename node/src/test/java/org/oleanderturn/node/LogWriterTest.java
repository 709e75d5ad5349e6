package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class LogWriterTest {
    private static final int LINES = 8;
    private static final long LONG_MILLISECONDS = 10_000;

    @Test
    void shouldWriteEachLineInOrder() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        LogWriter writer = LogWriter.start(output, LINES);
        assertThat(writer.offer("one")).isTrue();
        assertThat(writer.offer("two")).isTrue();
        writer.close(LONG_MILLISECONDS);
        assertThat(output.toString(StandardCharsets.UTF_8)).isEqualTo("one\ntwo\n");
    }

    @Test
    void shouldDropAndCountInsteadOfBlockingWhenItsReaderStops() {
        CountDownLatch reader = new CountDownLatch(1);
        LogWriter writer = LogWriter.start(new StoppedOutput(reader), LINES);
        int taken = 0;
        // More than fits into the writer's own buffer and the queue together.
        String line = "x".repeat(100_000);
        for (int offer = 0; offer < 100; offer++) {
            taken += writer.offer(line) ? 1 : 0;
        }
        assertThat(taken).isLessThan(100);
        assertThat(writer.dropped()).isEqualTo(100 - taken);
        reader.countDown();
    }

    /** An output whose reader takes nothing before it is let go. */
    private static final class StoppedOutput extends OutputStream {
        private final CountDownLatch reader;

        StoppedOutput(CountDownLatch reader) {
            this.reader = reader;
        }

        @Override
        public void write(int octet) {
            try {
                reader.await();
            } catch (InterruptedException interrupt) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
