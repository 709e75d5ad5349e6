package org.oleanderturn.traffic;

/** When the failures of an upstream count as too many. Immutable and thread safe. */
public sealed interface EjectionStrategy {

    /** Returns whether an upstream of which this was seen fails too much. */
    default boolean isFailing(UpstreamMetrics seen) {
        return switch (this) {
            case Never never -> false;
            case ConsecutiveFailures run -> seen.consecutiveFailures() >= run.threshold();
            case FailureRate share ->
                seen.windowResponses() >= share.minimumResponses()
                        && seen.windowFailures() * 100 >= share.percent() * seen.windowResponses();
            case ConsecutiveOrRate both ->
                both.consecutiveFailures().isFailing(seen) || both.failureRate().isFailing(seen);
        };
    }

    /** Never. */
    record Never() implements EjectionStrategy {}

    /** After so many failures with no success between them. */
    record ConsecutiveFailures(int threshold) implements EjectionStrategy {}

    /** When failures reach a share of the answers of the last seconds, once there are enough answers. */
    record FailureRate(int percent, int minimumResponses) implements EjectionStrategy {}

    /** When either says so. */
    record ConsecutiveOrRate(ConsecutiveFailures consecutiveFailures, FailureRate failureRate)
            implements EjectionStrategy {}
}
