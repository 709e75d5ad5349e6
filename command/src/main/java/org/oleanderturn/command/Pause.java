package org.oleanderturn.command;

/** Lets time pass between two questions to a node. */
@FunctionalInterface
public interface Pause {

    /** Returns after about the given time. */
    void pause(long milliseconds);

    /** Returns the pause that puts the calling thread to sleep; an interrupt ends it and stays set. */
    static Pause sleeping() {
        return milliseconds -> {
            try {
                Thread.sleep(milliseconds);
            } catch (InterruptedException cause) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
