package org.oleanderturn.node;

import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/** Runs the repeated tasks of a node, each on a thread of its own. Implementations are thread safe. */
interface TaskRunner {

    /** Runs a task repeatedly with a fixed delay between runs, in milliseconds. */
    void runEvery(long delayMilliseconds, Runnable task);

    /** Runs a task repeatedly; each run returns the delay before the next, in milliseconds. */
    void runRepeatedly(LongSupplier task);

    /** Returns the executor that runs the tasks, for other short-lived work. */
    Executor executor();
}
