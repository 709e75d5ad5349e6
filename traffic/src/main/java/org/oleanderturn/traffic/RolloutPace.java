package org.oleanderturn.traffic;

import java.time.Duration;

/**
 * The limits of a rollout and the times that follow from them.
 *
 * <p>A bad version stops getting requests one interval after its bad answers were reported at the latest, which takes an
 * interval itself; a node that reaches no judge stops by itself after {@link #validity}. Immutable and thread safe.
 *
 * @param share the share of the requests that may reach a version which turns out to be bad
 * @param slack requests that may reach it in addition, over all nodes
 * @param rollback how long after its 50th bad answer a bad version may get requests
 */
public record RolloutPace(double share, double slack, Duration rollback) {
    /** A report and its answer of 89 nodes each 1.25 s keep the judge within its control traffic. */
    private static final Duration LONGEST_INTERVAL = Duration.ofMillis(1_250);

    /** Returns how often a node reports to the judge while a rollout runs. */
    public Duration interval() {
        Duration quarter = rollback.dividedBy(4);
        return quarter.compareTo(LONGEST_INTERVAL) < 0 ? quarter : LONGEST_INTERVAL;
    }

    /**
     * Returns for how long after the order no times are counted, as targets that have just started are slower. With a fifth of
     * the duration, the rollback of a slow version came 5.5 s after its 50th slow answer (simulated).
     */
    public Duration coldTime() {
        return interval();
    }

    /** Returns how long after a report was sent its answer allows requests to the new version. */
    public Duration validity() {
        return interval().multipliedBy(8).dividedBy(5);
    }
}
