package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.OrganisationName;

/**
 * Parameters of a request for a slot of a {@link SlotQueue}. Immutable and thread safe.
 *
 * @param rank priority; 0 is served first
 * @param expectedRun expected time that the request holds its slot
 * @param cautiousRun time within which most runs of such requests end, which is asked for while more arrive than can run
 * @param untilSoftDeadline time until the soft deadline, after which the response is late but still of use; negative
 *     once it has passed
 * @param maximumWait longest time that the request may wait for a slot
 * @param organisation the organisation that sent the request; empty for an anonymous one
 */
public record SlotRequest(
        int rank,
        Duration expectedRun,
        Duration cautiousRun,
        Duration untilSoftDeadline,
        Duration maximumWait,
        Optional<OrganisationName> organisation) {
    /** How many times as long as expected most runs take at most. */
    private static final int LONG_RUN_FACTOR = 2;

    /** Throws {@link NullPointerException} if a component is null. */
    public SlotRequest {
        Objects.requireNonNull(expectedRun, "expectedRun is null");
        Objects.requireNonNull(cautiousRun, "cautiousRun is null");
        Objects.requireNonNull(untilSoftDeadline, "untilSoftDeadline is null");
        Objects.requireNonNull(maximumWait, "maximumWait is null");
        Objects.requireNonNull(organisation, "organisation is null");
    }

    /** Returns a request of which nothing but the expected run is known. */
    public SlotRequest(int rank, Duration expectedRun, Duration untilSoftDeadline, Duration maximumWait) {
        this(
                rank,
                expectedRun,
                expectedRun.multipliedBy(LONG_RUN_FACTOR),
                untilSoftDeadline,
                maximumWait,
                Optional.empty());
    }

    /**
     * Returns a request that is to be answered within a target latency. The cautious run leaves half of the time that the
     * expected run leaves, so that a request that has just arrived is in time however slow its target is.
     */
    public static SlotRequest within(
            Duration targetLatency, int rank, Duration expectedRun, Duration untilSoftDeadline, Duration maximumWait) {
        Duration spare = targetLatency.minus(expectedRun).dividedBy(2);
        Duration margin = spare.compareTo(expectedRun) < 0 ? spare : expectedRun;
        Duration cautiousRun = margin.isNegative() ? expectedRun : expectedRun.plus(margin);
        return new SlotRequest(rank, expectedRun, cautiousRun, untilSoftDeadline, maximumWait, Optional.empty());
    }

    /** Returns this request as one of an organisation; empty for an anonymous one. */
    public SlotRequest withOrganisation(Optional<OrganisationName> sender) {
        return new SlotRequest(rank, expectedRun, cautiousRun, untilSoftDeadline, maximumWait, sender);
    }

    /** Returns a request whose soft deadline is the end of its maximum wait. */
    public static SlotRequest of(int rank, Duration maximumWait) {
        return new SlotRequest(rank, Duration.ZERO, maximumWait, maximumWait);
    }
}
