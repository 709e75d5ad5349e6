package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Parameters of a request for a slot of a {@link SlotQueue}. Immutable and thread safe.
 *
 * @param rank priority; 0 is served first
 * @param expectedRun expected time that the request holds its slot
 * @param untilSoftDeadline time until the soft deadline, after which the response is late but still of use; negative
 *     once it has passed
 * @param maximumWait longest time that the request may wait for a slot
 */
public record SlotRequest(int rank, Duration expectedRun, Duration untilSoftDeadline, Duration maximumWait) {

    /** Throws {@link NullPointerException} if a component is null. */
    public SlotRequest {
        Objects.requireNonNull(expectedRun, "expectedRun is null");
        Objects.requireNonNull(untilSoftDeadline, "untilSoftDeadline is null");
        Objects.requireNonNull(maximumWait, "maximumWait is null");
    }

    /** Returns a request whose soft deadline is the end of its maximum wait. */
    public static SlotRequest of(int rank, Duration maximumWait) {
        return new SlotRequest(rank, Duration.ZERO, maximumWait, maximumWait);
    }
}
