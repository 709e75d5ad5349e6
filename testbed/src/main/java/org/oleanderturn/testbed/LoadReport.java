package org.oleanderturn.testbed;

import java.util.List;
import java.util.Map;

/**
 * The results of a load; written as JSON.
 *
 * <p>Immutable and thread safe.
 *
 * @param sent requests that were started
 * @param answered requests with a complete response of a target
 * @param refusedNotRun requests that certainly did not run: each attempt was refused or could not connect
 * @param unknown requests that may or may not have run
 * @param lost lookups and downloads with no response or a truncated one
 * @param unexpected requests with a response that no node should send
 * @param resent retries of all requests
 * @param lostByEntry lost requests, by entry
 * @param refusalsByReason refused attempts, by entry and reason
 * @param refusalsWithoutRetryAfter refused attempts whose response has no retry delay
 * @param problems descriptions of the first requests whose outcome is unknown, lost or unexpected
 * @param olderVersions responses with a lower configuration version than an earlier response of the same entry
 * @param latencies latencies of answered requests by kind, from the scheduled time to the end of the response
 * @param bookingKeys idempotency keys of the bookings, by outcome
 */
public record LoadReport(
        long sent,
        long answered,
        long refusedNotRun,
        long unknown,
        long lost,
        long unexpected,
        long resent,
        Map<String, Long> lostByEntry,
        Map<String, Long> refusalsByReason,
        long refusalsWithoutRetryAfter,
        List<String> problems,
        List<String> olderVersions,
        Map<LoadKind, LoadLatency> latencies,
        Map<LoadOutcome, List<String>> bookingKeys) {

    /** Copies the collections; throws {@link NullPointerException} when one is null. */
    public LoadReport {
        lostByEntry = Map.copyOf(lostByEntry);
        refusalsByReason = Map.copyOf(refusalsByReason);
        problems = List.copyOf(problems);
        olderVersions = List.copyOf(olderVersions);
        latencies = Map.copyOf(latencies);
        bookingKeys = Map.copyOf(bookingKeys);
    }

    /** Returns the idempotency keys of the bookings with this outcome; empty when there are none. */
    public List<String> keysOf(LoadOutcome outcome) {
        return bookingKeys.getOrDefault(outcome, List.of());
    }
}
