package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * What a request asks of a {@link SlotQueue}.
 *
 * <p>Immutable and thread safe.
 *
 * @param rank 0 first
 * @param expectedRun how long the request is expected to hold its slot
 * @param untilSoftDeadline the time that is left until its answer loses worth; negative when that is over
 * @param maximumWait the longest that it may wait
 */
public record SlotRequest(int rank, Duration expectedRun, Duration untilSoftDeadline, Duration maximumWait) {

    /** Checks that every part is there. */
    public SlotRequest {
        Objects.requireNonNull(expectedRun, "run is null");
        Objects.requireNonNull(untilSoftDeadline, "worthWhile is null");
        Objects.requireNonNull(maximumWait, "longestWait is null");
    }

    /** Returns the demand of a request whose answer keeps its worth for as long as it may wait. */
    public static SlotRequest of(int rank, Duration longestWait) {
        return new SlotRequest(rank, Duration.ZERO, longestWait, longestWait);
    }
}
