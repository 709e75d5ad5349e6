package org.oleanderturn.traffic;

import java.time.Duration;

/**
 * Limits the requests at a target by what it sheds.
 *
 * <p>A target that sheds a request beside others has room for those others only. One that sheds a request beside none has room
 * for none: it stays idle, looks like the best choice to every entry, and each request that it sheds uses up the retry budget
 * of its service. It then gets nothing for a pause, and one request at a time after it.
 *
 * <p>Invariant: while a target sheds everything it gets at most one request in each pause. Not thread safe; its owner guards
 * it.
 */
final class ShedLimit {
    /** A target that shed by chance is back soon; a run takes about as long. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

    /** Bounds both the requests that a shedding target costs and the time until it is used again. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    private double limit = Double.MAX_VALUE;
    private Duration nextPause = FIRST_PAUSE;
    private long pausedUntilNanoseconds;
    private boolean isPaused;

    private ShedLimit() {}

    /** Returns the limit of a target that has shed nothing. */
    static ShedLimit none() {
        return new ShedLimit();
    }

    // -- queries

    /** Returns how many requests may run at once at a target with the given slots. */
    int allowed(int slots, long now) {
        return untilProbe(now).isPositive() ? 0 : (int) Math.min(slots, limit);
    }

    /** Returns how long the target still gets no requests; zero if it gets some. */
    Duration untilProbe(long now) {
        return isPaused && pausedUntilNanoseconds - now > 0
                ? Duration.ofNanos(pausedUntilNanoseconds - now)
                : Duration.ZERO;
    }

    // -- commands

    /** Records that the target shed a request while others ran there. */
    void recordShed(int runningBeside, long now) {
        if (runningBeside > 0) {
            limit = Math.min(limit, runningBeside);
            return;
        }
        limit = 1;
        isPaused = true;
        pausedUntilNanoseconds = now + nextPause.toNanos();
        nextPause = nextPause.multipliedBy(2).compareTo(LONGEST_PAUSE) < 0 ? nextPause.multipliedBy(2) : LONGEST_PAUSE;
    }

    /** Records that the target ran a request; each round of runs raises the limit by one. */
    void recordRun(int slots) {
        nextPause = FIRST_PAUSE;
        isPaused = false;
        limit = limit >= slots ? Double.MAX_VALUE : limit + 1 / limit;
    }
}
