package org.oleanderturn.node;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Writes log lines asynchronously on a dedicated thread.
 *
 * <p>Invariants: {@link #offer} never blocks; a line is dropped and counted when the queue is full, and the count is written
 * once the queue is empty. Thread safe.
 */
final class LogWriter {
    /** At a few hundred bytes per line, a full queue takes about a megabyte. */
    private static final int QUEUE_CAPACITY_LINES = 4_096;

    /** How long the writer waits for a line before it checks again whether it is closing. */
    private static final long POLL_TIMEOUT_MILLISECONDS = 1_000;

    private final BlockingQueue<String> queue;
    private final Writer output;
    private final LongAdder dropped = new LongAdder();
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean isClosing;

    private LogWriter(OutputStream output, int capacityLines) {
        this.queue = new ArrayBlockingQueue<>(capacityLines);
        this.output = new BufferedWriter(new OutputStreamWriter(output, StandardCharsets.UTF_8));
    }

    /** Starts a writer and its thread. */
    static LogWriter start(OutputStream output) {
        return start(output, QUEUE_CAPACITY_LINES);
    }

    /** Starts a writer with a queue of the given capacity, in lines. */
    static LogWriter start(OutputStream output, int capacityLines) {
        LogWriter writer = new LogWriter(Objects.requireNonNull(output, "output is null"), capacityLines);
        Thread.ofPlatform().daemon().name("log-writer").start(writer::writeAll);
        return writer;
    }

    // -- queries

    /** Returns the number of lines dropped since the start. */
    long dropped() {
        return dropped.sum();
    }

    // -- commands

    /** Queues a line; returns false when it was dropped because the queue is full. */
    boolean offer(String line) {
        boolean isAccepted = queue.offer(line);
        if (!isAccepted) {
            dropped.increment();
        }
        return isAccepted;
    }

    /** Closes the writer and waits until the queued lines are written or the timeout expires. */
    void close(long timeoutMilliseconds) {
        isClosing = true;
        offer("");
        try {
            boolean _ = ended.await(timeoutMilliseconds, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAll() {
        long reported = 0;
        try {
            while (!isClosing || !queue.isEmpty()) {
                String line = queue.poll(POLL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    write(line);
                }
                long now = dropped.sum();
                if (now > reported && queue.isEmpty()) {
                    write("{\"event\":\"LogLinesDropped\",\"lines\":" + (now - reported) + "}");
                    reported = now;
                }
                if (queue.isEmpty()) {
                    output.flush();
                }
            }
            output.flush();
        } catch (IOException | InterruptedException end) {
            // The output failed: the queue fills up, and later lines are counted as dropped.
            Thread.currentThread().interrupt();
        } finally {
            ended.countDown();
        }
    }

    private void write(String line) throws IOException {
        if (!line.isEmpty()) {
            output.write(line);
            output.write('\n');
        }
    }
}
