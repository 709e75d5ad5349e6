package org.oleanderturn.node;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/** Runs the repeated tasks of a simulated node until its life is over. Used by one task at a time. */
final class SimulatedTasks implements TaskRunner {
    private final SimulatedTime time;
    private final SimulatedTime.Life life;

    SimulatedTasks(SimulatedTime time, SimulatedTime.Life life) {
        this.time = time;
        this.life = life;
    }

    @Override
    public void runEvery(long delayMilliseconds, Runnable task) {
        runRepeatedly(() -> {
            task.run();
            return delayMilliseconds;
        });
    }

    @Override
    public void runRepeatedly(LongSupplier task) {
        time.start(Duration.ZERO, life, () -> {
            while (!life.isOver()) {
                time.sleep(Duration.ofMillis(task.getAsLong()));
            }
        });
    }

    @Override
    public Executor executor() {
        return task -> time.start(Duration.ZERO, life, task);
    }
}
