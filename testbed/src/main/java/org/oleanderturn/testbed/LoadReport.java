package org.oleanderturn.testbed;

import java.util.List;
import java.util.Map;

/**
 * What became of a load; written as JSON.
 *
 * <p>Immutable and thread safe.
 *
 * @param sent requests that were due and sent
 * @param answered requests with a whole answer of a target
 * @param refusedNotRun requests of which every sending was refused as not run
 * @param unknown requests of which nobody can tell whether they ran
 * @param lost lookups and downloads with no answer or a truncated one
 * @param unexpected requests with an answer that no node should give
 * @param resent sendings after the first
 * @param lostByEntry lost requests by the entry that they were sent to
 * @param refusalsByReason refusals of single sendings, by entry and reason
 * @param refusalsWithoutRetryAfter refusals of single sendings that do not say when to come back
 * @param problems the first lost and unexpected answers, in words
 * @param olderVersions answers by a lower version than an earlier answer of the same entry had shown
 * @param latencies by kind, from the scheduled time to the end of an answered request
 * @param bookingKeys by outcome
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

    /** Checks that every part is there and copies it. */
    public LoadReport {
        lostByEntry = Map.copyOf(lostByEntry);
        refusalsByReason = Map.copyOf(refusalsByReason);
        problems = List.copyOf(problems);
        olderVersions = List.copyOf(olderVersions);
        latencies = Map.copyOf(latencies);
        bookingKeys = Map.copyOf(bookingKeys);
    }

    /** Returns the booking keys that ended in one way. */
    public List<String> keysOf(LoadOutcome outcome) {
        return bookingKeys.getOrDefault(outcome, List.of());
    }
}
