package org.oleanderturn.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** Waits for the signal to terminate and stops the node gracefully. Stateless; for the main thread. */
final class ShutdownSignal {
    private static final int REQUESTS_CUT_OFF = 1;

    private ShutdownSignal() {}

    /**
     * Blocks until the process is told to terminate and the node has stopped; returns the exit code, 0 or 1.
     *
     * @param stop stops the node and returns whether all requests in flight were completed
     */
    static int awaitAndStop(BooleanSupplier stop) {
        CountDownLatch signal = new CountDownLatch(1);
        AtomicInteger exitCode = new AtomicInteger();
        Thread hook = new Thread(() -> {
            signal.countDown();
            boolean isFinished = stop.getAsBoolean();
            if (!isFinished) {
                exitCode.set(REQUESTS_CUT_OFF);
                Runtime.getRuntime().halt(REQUESTS_CUT_OFF);
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
