package org.oleanderturn.wire;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** Creates the executors that close connections whose deadline has passed. */
final class DeadlineExecutors {

    private DeadlineExecutors() {}

    static ScheduledExecutorService newExecutor(String name) {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().daemon().name(name).factory());
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }
}
