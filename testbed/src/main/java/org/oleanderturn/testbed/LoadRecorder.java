package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.oleanderturn.model.Address;

/**
 * Collects the results of the requests of a load.
 *
 * <p>Invariant: every started request is counted under one outcome, when it ends. Thread safe; methods are synchronized.
 */
final class LoadRecorder {
    private static final int PROBLEM_LIMIT = 20;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<LoadOutcome, Long> outcomes = new EnumMap<>(LoadOutcome.class);
    private final Map<LoadOutcome, List<String>> bookingKeys = new EnumMap<>(LoadOutcome.class);
    private final Map<LoadKind, Histogram> latencies = new EnumMap<>(LoadKind.class);
    private final Map<String, Long> lostByEntry = new TreeMap<>();
    private final Map<String, Long> refusals = new TreeMap<>();
    private final Map<Address, Long> newestVersions = new HashMap<>();
    private final List<String> problems = new ArrayList<>();
    private final List<String> olderVersions = new ArrayList<>();
    private long sent;
    private long resent;
    private long refusalsWithoutRetryAfter;

    // -- commands

    synchronized void recordStart() {
        sent++;
    }

    synchronized void recordRetry() {
        resent++;
    }

    /**
     * Records the result of one attempt.
     *
     * @param versionBefore the newest configuration version that the entry had reported before the attempt; 0 for none
     */
    synchronized void recordAttempt(Address entry, LoadAttempt attempt, long versionBefore) {
        if (!(attempt instanceof LoadAttempt.Complete complete)) {
            return;
        }
        complete.version().ifPresent(version -> recordVersion(entry, version, versionBefore));
        if (complete.outcome().filter("not-run"::equals).isEmpty()) {
            return;
        }
        refusals.merge(entry + " " + complete.reason().orElse("-"), 1L, Long::sum);
        if (complete.retryAfterMilliseconds().isEmpty()) {
            refusalsWithoutRetryAfter++;
        }
    }

    synchronized void recordEnd(
            LoadRequest request,
            LoadOutcome outcome,
            Address entry,
            LoadAttempt lastAttempt,
            long latencyMicroseconds) {
        outcomes.merge(outcome, 1L, Long::sum);
        if (request.kind() == LoadKind.BOOKING) {
            bookingKeys.computeIfAbsent(outcome, _ -> new ArrayList<>()).add(request.name());
        }
        if (outcome == LoadOutcome.ANSWERED) {
            latencies
                    .computeIfAbsent(request.kind(), _ -> new Histogram(SIGNIFICANT_DIGITS))
                    .recordValue(Math.max(0, latencyMicroseconds));
        }
        if (outcome == LoadOutcome.LOST) {
            lostByEntry.merge(entry.toString(), 1L, Long::sum);
        }
        boolean isProblem = outcome != LoadOutcome.ANSWERED && outcome != LoadOutcome.REFUSED_NOT_RUN;
        if (isProblem && problems.size() < PROBLEM_LIMIT) {
            problems.add("%s %s %s at %s: %s".formatted(outcome, request.kind(), request.name(), entry, lastAttempt));
        }
    }

    private void recordVersion(Address entry, long version, long versionBefore) {
        if (version < versionBefore) {
            olderVersions.add("%s: %d after %d".formatted(entry, version, versionBefore));
        }
        newestVersions.merge(entry, version, Math::max);
    }

    // -- queries

    /** Returns the newest configuration version that the entry has reported; 0 for none. */
    synchronized long newestVersionOf(Address entry) {
        return newestVersions.getOrDefault(entry, 0L);
    }

    synchronized LoadReport report() {
        Map<LoadKind, LoadLatency> latencyByKind = new EnumMap<>(LoadKind.class);
        latencies.forEach((kind, histogram) -> latencyByKind.put(kind, LoadLatency.of(histogram)));
        Map<LoadOutcome, List<String>> keys = new EnumMap<>(LoadOutcome.class);
        bookingKeys.forEach((outcome, names) -> keys.put(outcome, List.copyOf(names)));
        return new LoadReport(
                sent,
                outcomes.getOrDefault(LoadOutcome.ANSWERED, 0L),
                outcomes.getOrDefault(LoadOutcome.REFUSED_NOT_RUN, 0L),
                outcomes.getOrDefault(LoadOutcome.UNKNOWN, 0L),
                outcomes.getOrDefault(LoadOutcome.LOST, 0L),
                outcomes.getOrDefault(LoadOutcome.UNEXPECTED, 0L),
                resent,
                lostByEntry,
                refusals,
                refusalsWithoutRetryAfter,
                problems,
                olderVersions,
                latencyByKind,
                keys);
    }
}
