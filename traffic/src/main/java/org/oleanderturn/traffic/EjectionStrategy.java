package org.oleanderturn.traffic;

/** When an upstream fails so often that it is ejected. Immutable and thread safe. */
public sealed interface EjectionStrategy {

    /** Returns whether an upstream with these metrics fails too often. */
    default boolean isFailing(UpstreamMetrics metrics) {
        return switch (this) {
            case Never never -> false;
            case ConsecutiveFailures count -> metrics.consecutiveFailures() >= count.threshold();
            case FailureRate rate ->
                metrics.windowResponses() >= rate.minimumResponses()
                        && metrics.windowFailures() * 100 >= rate.percent() * metrics.windowResponses();
            case ConsecutiveOrRate either ->
                either.consecutiveFailures().isFailing(metrics)
                        || either.failureRate().isFailing(metrics);
        };
    }

    /** Never ejects for failures. */
    record Never() implements EjectionStrategy {}

    /**
     * Ejects after a number of failures without a success between them.
     *
     * @param threshold that number
     */
    record ConsecutiveFailures(int threshold) implements EjectionStrategy {}

    /**
     * Ejects when the failure rate of the current and the previous window is too high.
     *
     * @param percent lowest failure rate that ejects
     * @param minimumResponses responses below which the rate is not evaluated
     */
    record FailureRate(int percent, int minimumResponses) implements EjectionStrategy {}

    /** Ejects when either strategy does. */
    record ConsecutiveOrRate(ConsecutiveFailures consecutiveFailures, FailureRate failureRate)
            implements EjectionStrategy {}
}
