package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of outlier ejection. Immutable and thread safe.
 *
 * @param strategy when an upstream fails too often
 * @param latencyRatio multiple of the median latency of its peers above which an upstream is an outlier; zero
 *     disables the check
 * @param maximumEjectionPercent share of the endpoints of a service that may be ejected at once; the last one never
 *     is
 * @param baseDuration duration of the first ejection, doubled for each repetition
 * @param maximumDuration longest ejection
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

    /** Throws {@link NullPointerException} if a component is null. */
    public EjectionSettings {
        Objects.requireNonNull(strategy, "strategy is null");
        Objects.requireNonNull(baseDuration, "baseDuration is null");
        Objects.requireNonNull(maximumDuration, "maximumDuration is null");
    }

    /** Returns the default settings with the given strategy. */
    public static EjectionSettings of(EjectionStrategy strategy) {
        return new EjectionSettings(strategy, LATENCY_RATIO, MAXIMUM_EJECTION_PERCENT, BASE_DURATION, MAXIMUM_DURATION);
    }

    /** Returns the default settings. */
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
