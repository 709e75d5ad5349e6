package org.oleanderturn.testbed;

import java.util.Objects;

/**
 * The result of one request that a load generator sent.
 *
 * <p>Immutable and thread safe.
 *
 * @param dueNanoseconds the scheduled send time, from the start of the load
 * @param latencyNanoseconds the time from the scheduled send time until the whole response was read
 * @param outcome how the request ended
 */
record TrafficSample(long dueNanoseconds, long latencyNanoseconds, Outcome outcome) {

    TrafficSample {
        Objects.requireNonNull(outcome, "outcome is null");
    }

    /** How a request ended. */
    enum Outcome {
        /** A complete response with status 200. */
        ANSWERED,
        /** The response said that the request was not run and when to retry. */
        REFUSED,
        /** A complete response with any other status. */
        FAILED,
        /** No complete response was read, so the sample does not tell whether the request ran. */
        LOST
    }
}
