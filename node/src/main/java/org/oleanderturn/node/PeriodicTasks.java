package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/**
 * Runs the node's periodic tasks, each on its own virtual thread, until it is closed.
 *
 * <p>Invariant: a task that throws, also an error such as a stack overflow, is logged and runs again after a delay. Thread
 * safe.
 */
final class PeriodicTasks implements TaskRunner, AutoCloseable {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long FAILURE_DELAY_MILLISECONDS = 1_000;

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicBoolean isRunning = new AtomicBoolean(true);

    @Override
    public void runEvery(long delayMilliseconds, Runnable task) {
        runRepeatedly(() -> {
            task.run();
            return delayMilliseconds;
        });
    }

    @Override
    public void runRepeatedly(LongSupplier task) {
        executor.execute(() -> {
            while (isRunning.get()) {
                if (!pause(runOnce(task))) {
                    return;
                }
            }
        });
    }

    @Override
    public ExecutorService executor() {
        return executor;
    }

    @Override
    public void close() {
        isRunning.set(false);
        executor.shutdownNow();
    }

    private long runOnce(LongSupplier task) {
        try {
            return task.getAsLong();
        } catch (RuntimeException | Error failure) {
            if (!isRunning.get()) {
                return 0;
            }
            log.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(failure).log("periodic task failed");
            return FAILURE_DELAY_MILLISECONDS;
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
