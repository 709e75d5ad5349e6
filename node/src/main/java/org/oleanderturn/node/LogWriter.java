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
 * Writes log lines on a thread of its own.
 *
 * <p>Invariants: {@link #offer} never blocks; a line that finds the queue full is counted and dropped, and the count is
 * written once there is room. Thread safe.
 */
final class LogWriter {
    /** Lines that wait; at a few hundred bytes a line about a megabyte. */
    private static final int QUEUE_LINES = 4_096;

    /** How long the writer sleeps when nothing comes, in milliseconds. */
    private static final long POLL_MILLISECONDS = 1_000;

    private final BlockingQueue<String> queue;
    private final Writer output;
    private final LongAdder dropped = new LongAdder();
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean isClosing;

    private LogWriter(OutputStream output, int lines) {
        this.queue = new ArrayBlockingQueue<>(lines);
        this.output = new BufferedWriter(new OutputStreamWriter(output, StandardCharsets.UTF_8));
    }

    /** Returns a writer whose thread runs. */
    static LogWriter start(OutputStream output) {
        return start(output, QUEUE_LINES);
    }

    static LogWriter start(OutputStream output, int lines) {
        LogWriter writer = new LogWriter(Objects.requireNonNull(output, "output is null"), lines);
        Thread.ofPlatform().daemon().name("log-writer").start(writer::writeAll);
        return writer;
    }

    // -- queries

    /** Returns how many lines were dropped. */
    long dropped() {
        return dropped.sum();
    }

    // -- commands

    /** Hands a line over; returns whether it will be written. */
    boolean offer(String line) {
        boolean isTaken = queue.offer(line);
        if (!isTaken) {
            dropped.increment();
        }
        return isTaken;
    }

    /** Writes what waits and ends; waits for that no longer than given. */
    void close(long longestMilliseconds) {
        isClosing = true;
        offer("");
        try {
            boolean _ = ended.await(longestMilliseconds, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAll() {
        long told = 0;
        try {
            while (!isClosing || !queue.isEmpty()) {
                String line = queue.poll(POLL_MILLISECONDS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    write(line);
                }
                long now = dropped.sum();
                if (now > told && queue.isEmpty()) {
                    write("{\"event\":\"LogLinesDropped\",\"lines\":" + (now - told) + "}");
                    told = now;
                }
                if (queue.isEmpty()) {
                    output.flush();
                }
            }
            output.flush();
        } catch (IOException | InterruptedException end) {
            // Nobody reads the log any more: later lines are counted as dropped when the queue is full.
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
