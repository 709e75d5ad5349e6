package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;

/**
 * How long an attempt spent in each stage at its guard.
 *
 * <p>Immutable and thread safe.
 *
 * @param readDelay the estimated time from its arrival until the node read it
 * @param slotWait the time until it got a slot of the target
 * @param run the time at the target, to connect, send, run and read the response; zero if it did not get there
 */
public record GuardStages(Duration readDelay, Duration slotWait, Duration run) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public GuardStages {
        Objects.requireNonNull(readDelay, "readDelay is null");
        Objects.requireNonNull(slotWait, "slotWait is null");
        Objects.requireNonNull(run, "run is null");
    }
}
