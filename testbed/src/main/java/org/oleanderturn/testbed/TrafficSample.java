package org.oleanderturn.testbed;

import java.util.Objects;

/**
 * What became of one request of a load.
 *
 * <p>Immutable and thread safe.
 *
 * @param dueNanoseconds when it was due to be sent, from the start of the load
 * @param tookNanoseconds the time from when it was due until its whole answer was there
 * @param kind how it ended
 */
record TrafficSample(long dueNanoseconds, long tookNanoseconds, Kind kind) {

    TrafficSample {
        Objects.requireNonNull(kind, "kind is null");
    }

    /** How a request ended. */
    enum Kind {
        /** The whole answer came. */
        ANSWERED,
        /** It did not run, and its caller was told so. */
        REFUSED,
        /** The target answered with an error. */
        FAILED,
        /** No answer came, or none that says whether it ran. */
        LOST
    }
}
