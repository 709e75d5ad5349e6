package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/**
 * Runs the node's repeated work, each piece on a virtual thread of its own.
 *
 * <p>Invariant: a piece that fails is logged and runs again. Thread safe.
 */
final class Loops implements AutoCloseable {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long FAILURE_PAUSE_MILLISECONDS = 1_000;

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicBoolean isRunning = new AtomicBoolean(true);

    /** Runs something again and again with a fixed pause between. */
    void every(long pauseMilliseconds, Runnable work) {
        repeat(() -> {
            work.run();
            return pauseMilliseconds;
        });
    }

    /** Runs something again and again; each run says how long to pause, in milliseconds. */
    void repeat(LongSupplier work) {
        executor.execute(() -> {
            while (isRunning.get()) {
                if (!pause(runOnce(work))) {
                    return;
                }
            }
        });
    }

    /** Returns the executor that runs the loops; for work of short life beside them. */
    ExecutorService executor() {
        return executor;
    }

    @Override
    public void close() {
        isRunning.set(false);
        executor.shutdownNow();
    }

    private long runOnce(LongSupplier work) {
        try {
            return work.getAsLong();
        } catch (RuntimeException defect) {
            if (!isRunning.get()) {
                return 0;
            }
            log.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(defect).log("repeated work failed");
            return FAILURE_PAUSE_MILLISECONDS;
        }
    }

    private static boolean pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
            return true;
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
