package org.oleanderturn.traffic;

import java.time.Duration;

/** How a thread lets time pass. Implementations are thread safe. */
@FunctionalInterface
public interface Pause {

    /** Blocks for a time; at once if it is not positive. */
    void pass(Duration duration) throws InterruptedException;
}
