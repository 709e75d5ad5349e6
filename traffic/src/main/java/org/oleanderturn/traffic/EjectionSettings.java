package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits of outlier ejection.
 *
 * @param strategy when failures are too many
 * @param latencyRatio how many times the median of its peers an upstream may take; zero is without limit
 * @param maximumEjectionPercent share of a service's endpoints that may be ejected at once; the last one never is
 * @param baseDuration the first ejection's length, doubled with each one that follows
 * @param maximumDuration the longest ejection
 */
public record EjectionSettings(
        EjectionStrategy strategy,
        double latencyRatio,
        int maximumEjectionPercent,
        Duration baseDuration,
        Duration maximumDuration) {
    private static final int CONSECUTIVE_FAILURES = 5;
    private static final int FAILURE_PERCENT = 50;
    private static final int MINIMUM_RESPONSES = 10;
    private static final double LATENCY_RATIO = 4.0;
    private static final int MAXIMUM_EJECTION_PERCENT = 50;
    private static final Duration BASE_DURATION = Duration.ofSeconds(1);
    private static final Duration MAXIMUM_DURATION = Duration.ofSeconds(60);

    /** Checks that every part is there. */
    public EjectionSettings {
        Objects.requireNonNull(strategy, "strategy is null");
        Objects.requireNonNull(baseDuration, "base is null");
        Objects.requireNonNull(maximumDuration, "longest is null");
    }

    /** Returns the usual settings with a strategy. */
    public static EjectionSettings of(EjectionStrategy strategy) {
        return new EjectionSettings(strategy, LATENCY_RATIO, MAXIMUM_EJECTION_PERCENT, BASE_DURATION, MAXIMUM_DURATION);
    }

    /** Returns the usual settings. */
    public static EjectionSettings defaults() {
        return of(new EjectionStrategy.ConsecutiveOrRate(
                new EjectionStrategy.ConsecutiveFailures(CONSECUTIVE_FAILURES),
                new EjectionStrategy.FailureRate(FAILURE_PERCENT, MINIMUM_RESPONSES)));
    }

    /** Returns settings that eject nothing. */
    public static EjectionSettings disabled() {
        return new EjectionSettings(new EjectionStrategy.Never(), 0, 0, BASE_DURATION, MAXIMUM_DURATION);
    }
}
