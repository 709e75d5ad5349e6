package org.oleanderturn.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** Waits for the signal to stop and stops the node gracefully. */
final class ShutdownSignal {
    private static final int CUT_OFF = 1;

    private ShutdownSignal() {}

    /**
     * Blocks until the process is told to stop; returns the exit code.
     *
     * @param stop stops the node and returns whether everything in flight was finished
     */
    static int awaitAndStop(BooleanSupplier stop) {
        CountDownLatch signal = new CountDownLatch(1);
        AtomicInteger exitCode = new AtomicInteger();
        Thread hook = new Thread(() -> {
            signal.countDown();
            boolean isFinished = stop.getAsBoolean();
            if (!isFinished) {
                exitCode.set(CUT_OFF);
                Runtime.getRuntime().halt(CUT_OFF);
            }
            Runtime.getRuntime().halt(0);
        });
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            signal.await();
            hook.join();
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
        return exitCode.get();
    }
}
