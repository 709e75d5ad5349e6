package org.oleanderturn.traffic;

import java.time.Duration;

/**
 * Keeps requests from a target that sheds all of them.
 *
 * <p>Such a target stays idle, looks like the best choice to every entry, and each request that it sheds uses up the retry
 * budget of its service. After several sheds in a row it gets nothing for a pause, and one request at a time after it until it
 * runs one. A target that sheds only part of its requests keeps its slots: what it runs is room that no other target has.
 *
 * <p>Invariant: while a target sheds everything it gets at most one request in each pause. Not thread safe; its owner guards
 * it.
 */
final class ShedLimit {
    /** A target that sheds every second request sheds as many in a row by chance once in some hundred requests. */
    private static final int SHEDS_BEFORE_PAUSE = 8;

    /** A target that shed by chance is back soon; a run takes about as long. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

    /** Bounds both the requests that a shedding target costs and the time until it is used again. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    private int sheds;
    private Duration nextPause = FIRST_PAUSE;
    private long pausedUntilNanoseconds;

    private ShedLimit() {}

    /** Returns the limit of a target that has shed nothing. */
    static ShedLimit none() {
        return new ShedLimit();
    }

    // -- queries

    /** Returns how many requests may run at once at a target with the given slots. */
    int allowed(int slots, long now) {
        if (sheds < SHEDS_BEFORE_PAUSE) {
            return slots;
        }
        return untilProbe(now).isPositive() ? 0 : Math.min(slots, 1);
    }

    /** Returns how long the target still gets no requests; zero if it gets some. */
    Duration untilProbe(long now) {
        return sheds >= SHEDS_BEFORE_PAUSE && pausedUntilNanoseconds - now > 0
                ? Duration.ofNanos(pausedUntilNanoseconds - now)
                : Duration.ZERO;
    }

    // -- commands

    /** Records that the target shed a request. */
    void recordShed(long now) {
        sheds = Math.min(sheds + 1, SHEDS_BEFORE_PAUSE);
        if (sheds < SHEDS_BEFORE_PAUSE) {
            return;
        }
        pausedUntilNanoseconds = now + nextPause.toNanos();
        Duration doubled = nextPause.multipliedBy(2);
        nextPause = doubled.compareTo(LONGEST_PAUSE) < 0 ? doubled : LONGEST_PAUSE;
    }

    /** Records that the target ran a request. */
    void recordRun() {
        sheds = 0;
        nextPause = FIRST_PAUSE;
    }
}
