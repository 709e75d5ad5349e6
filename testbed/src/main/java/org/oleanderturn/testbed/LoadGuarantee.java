package org.oleanderturn.testbed;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * A guarantee to callers and the violations of it that were found.
 *
 * <p>Immutable and thread safe.
 *
 * @param text the guarantee as a statement
 * @param violations descriptions of the violations; empty when the guarantee holds
 */
public record LoadGuarantee(String text, List<String> violations) {

    /** Copies the violations; throws {@link NullPointerException} when a component is null. */
    public LoadGuarantee {
        Objects.requireNonNull(text, "text is null");
        violations = List.copyOf(violations);
    }

    // -- static factories

    /**
     * Compares the results that callers received with the bookings that ran.
     *
     * @param runs how often each booking ran, by idempotency key, summed over all targets
     * @param killedEntries caller addresses of nodes that were killed; requests lost at them are not violations
     */
    public static List<LoadGuarantee> check(LoadReport load, Map<String, Integer> runs, List<String> killedEntries) {
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(runs, "runs is null");
        Objects.requireNonNull(killedEntries, "killedEntries is null");
        return List.of(
                new LoadGuarantee("no booking ran more than once", keysRunAtLeast(runs.keySet().stream(), runs, 2)),
                new LoadGuarantee("every booking answered as run ran once", answeredNotRunOnce(load, runs)),
                new LoadGuarantee(
                        "no booking refused as not run ran",
                        keysRunAtLeast(load.keysOf(LoadOutcome.REFUSED_NOT_RUN).stream(), runs, 1)),
                new LoadGuarantee("no request was lost or cut off", lostRequests(load, killedEntries)),
                new LoadGuarantee("every response was one that a node should send", unexpectedAnswers(load)),
                new LoadGuarantee("no entry answered with an older configuration version", load.olderVersions()),
                new LoadGuarantee(
                        "every refusal says how long to wait before a retry", refusalsWithoutRetryAfter(load)),
                new LoadGuarantee("every request is accounted for", unaccountedRequests(load)));
    }

    // -- queries

    /** Returns whether there are no violations. */
    public boolean isKept() {
        return violations.isEmpty();
    }

    /** Returns a line with the verdict, the guarantee and its violations. */
    public String describe() {
        return isKept() ? "  kept    " + text : "  BROKEN  " + text + ": " + String.join("; ", violations);
    }

    private static List<String> keysRunAtLeast(Stream<String> keys, Map<String, Integer> runs, int minimumRuns) {
        return keys.filter(key -> runs.getOrDefault(key, 0) >= minimumRuns)
                .map(key -> key + " ran " + runs.get(key) + " times")
                .toList();
    }

    private static List<String> answeredNotRunOnce(LoadReport load, Map<String, Integer> runs) {
        return load.keysOf(LoadOutcome.ANSWERED).stream()
                .filter(key -> runs.getOrDefault(key, 0) != 1)
                .map(key -> key + " ran " + runs.getOrDefault(key, 0) + " times")
                .toList();
    }

    private static List<String> lostRequests(LoadReport load, List<String> killedEntries) {
        return load.lostByEntry().entrySet().stream()
                .filter(entry -> !killedEntries.contains(entry.getKey()))
                .map(entry -> entry.getValue() + " at " + entry.getKey())
                .toList();
    }

    private static List<String> unexpectedAnswers(LoadReport load) {
        return load.unexpected() == 0 ? List.of() : List.of(load.unexpected() + " were not");
    }

    private static List<String> refusalsWithoutRetryAfter(LoadReport load) {
        long count = load.refusalsWithoutRetryAfter();
        return count == 0 ? List.of() : List.of(count + " did not");
    }

    private static List<String> unaccountedRequests(LoadReport load) {
        long ended = load.answered() + load.refusedNotRun() + load.unknown() + load.lost() + load.unexpected();
        return ended == load.sent() ? List.of() : List.of(load.sent() - ended + " never ended");
    }
}
