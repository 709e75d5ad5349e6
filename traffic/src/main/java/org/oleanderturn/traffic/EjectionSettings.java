package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits of outlier ejection.
 *
 * @param strategy when failures are too many
 * @param latencyRatio how many times the median of its peers an upstream may take; zero is without limit
 * @param largestSharePercent share of a service's endpoints that may be ejected at once; the last one never is
 * @param base the first ejection's length, doubled with each one that follows
 * @param longest the longest ejection
 */
public record EjectionSettings(
        EjectionStrategy strategy, double latencyRatio, int largestSharePercent, Duration base, Duration longest) {
    private static final int FAILURE_RUN = 5;
    private static final int FAILURE_PERCENT = 50;
    private static final int FAILURE_LEAST_ANSWERS = 10;
    private static final double LATENCY_RATIO = 4.0;
    private static final int LARGEST_SHARE_PERCENT = 50;
    private static final Duration BASE = Duration.ofSeconds(1);
    private static final Duration LONGEST = Duration.ofSeconds(60);

    /** Checks that every part is there. */
    public EjectionSettings {
        Objects.requireNonNull(strategy, "strategy is null");
        Objects.requireNonNull(base, "base is null");
        Objects.requireNonNull(longest, "longest is null");
    }

    /** Returns the usual settings with a strategy. */
    public static EjectionSettings of(EjectionStrategy strategy) {
        return new EjectionSettings(strategy, LATENCY_RATIO, LARGEST_SHARE_PERCENT, BASE, LONGEST);
    }

    /** Returns the usual settings. */
    public static EjectionSettings usual() {
        return of(new EjectionStrategy.RunOrShare(
                new EjectionStrategy.FailureRun(FAILURE_RUN),
                new EjectionStrategy.FailureShare(FAILURE_PERCENT, FAILURE_LEAST_ANSWERS)));
    }

    /** Returns settings that eject nothing. */
    public static EjectionSettings off() {
        return new EjectionSettings(new EjectionStrategy.Never(), 0, 0, BASE, LONGEST);
    }
}
