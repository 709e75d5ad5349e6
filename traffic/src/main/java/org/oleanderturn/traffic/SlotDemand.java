package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * What a request asks of a {@link SlotQueue}.
 *
 * <p>Immutable and thread safe.
 *
 * @param rank 0 first
 * @param run how long the request is expected to hold its slot
 * @param worthWhile the time that is left until its answer loses worth; negative when that is over
 * @param longestWait the longest that it may wait
 */
public record SlotDemand(int rank, Duration run, Duration worthWhile, Duration longestWait) {

    /** Checks that every part is there. */
    public SlotDemand {
        Objects.requireNonNull(run, "run is null");
        Objects.requireNonNull(worthWhile, "worthWhile is null");
        Objects.requireNonNull(longestWait, "longestWait is null");
    }

    /** Returns the demand of a request whose answer keeps its worth for as long as it may wait. */
    public static SlotDemand of(int rank, Duration longestWait) {
        return new SlotDemand(rank, Duration.ZERO, longestWait, longestWait);
    }
}
