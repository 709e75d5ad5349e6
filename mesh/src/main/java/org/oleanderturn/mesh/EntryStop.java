package org.oleanderturn.mesh;

import java.time.Duration;

/**
 * When an entry stops, by the node's monotonic clock.
 *
 * <p>A request that is still unanswered when the process ends is lost, so one that comes late is rejected as not run, and
 * the others have to end before the process does. Immutable and thread safe.
 *
 * @param lastRequestNanoseconds after this, no request is taken any more
 * @param lastResponseNanoseconds by this, every request that was taken has its response
 */
public record EntryStop(long lastRequestNanoseconds, long lastResponseNanoseconds) {
    /** How long requests are taken after the stop has begun; clients turn away within 2.6 s, and some requests are slow. */
    private static final Duration LAST_REQUEST_DELAY = Duration.ofSeconds(3);

    /** What is left for writing the responses of requests that have used all of their time. */
    private static final Duration RESPONSE_TIME = Duration.ofMillis(200);

    /** Returns the stop of an entry that begins and ends at the given times. */
    public static EntryStop between(long beginNanoseconds, long endNanoseconds) {
        long lastResponse = endNanoseconds - RESPONSE_TIME.toNanos();
        long lastRequest = beginNanoseconds + LAST_REQUEST_DELAY.toNanos();
        return new EntryStop(lastRequest - lastResponse > 0 ? lastResponse : lastRequest, lastResponse);
    }

    // -- queries

    /** Returns whether a request that was read at the given time is too late. */
    boolean isTooLate(long readNanoseconds) {
        return readNanoseconds - lastRequestNanoseconds > 0;
    }

    /** Returns the given deadline of a request, or the end of the entry if that comes first. */
    long limit(long deadlineNanoseconds) {
        return deadlineNanoseconds - lastResponseNanoseconds > 0 ? lastResponseNanoseconds : deadlineNanoseconds;
    }
}
