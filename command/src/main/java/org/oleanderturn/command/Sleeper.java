package org.oleanderturn.command;

/** Waits between two polls of a node; tests replace it to run without real delays. */
@FunctionalInterface
public interface Sleeper {

    /** Waits for about the given time, or until the calling thread is interrupted. */
    void sleep(long milliseconds);

    /** Returns a sleeper based on {@link Thread#sleep(long)}; an interrupt ends the sleep and leaves the interrupt status set. */
    static Sleeper ofThread() {
        return milliseconds -> {
            try {
                Thread.sleep(milliseconds);
            } catch (InterruptedException cause) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
