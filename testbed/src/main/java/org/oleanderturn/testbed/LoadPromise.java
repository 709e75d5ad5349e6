package org.oleanderturn.testbed;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * One promise to callers and what speaks against it.
 *
 * <p>Immutable and thread safe.
 *
 * @param text the promise
 * @param violations what speaks against it
 */
public record LoadPromise(String text, List<String> violations) {

    /** Checks that every part is there and copies it. */
    public LoadPromise {
        Objects.requireNonNull(text, "text is null");
        violations = List.copyOf(violations);
    }

    // -- static factories

    /**
     * Compares what callers were told with what ran.
     *
     * @param runs how often each booking ran, on all targets together
     * @param killedEntries caller addresses of nodes that were killed: what was on connections to them is not held
     *     against the others
     */
    public static List<LoadPromise> check(LoadReport load, Map<String, Integer> runs, List<String> killedEntries) {
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(runs, "runs is null");
        Objects.requireNonNull(killedEntries, "killedEntries is null");
        return List.of(
                new LoadPromise("no booking ran more than once", keys(runs.keySet().stream(), runs, 2)),
                new LoadPromise("every booking answered as run ran once", answeredNotRun(load, runs)),
                new LoadPromise(
                        "no booking refused as not run ran",
                        keys(load.keysOf(LoadOutcome.REFUSED_NOT_RUN).stream(), runs, 1)),
                new LoadPromise("no request was lost or cut off", lost(load, killedEntries)),
                new LoadPromise("every answer was one that a node should give", unexpected(load)),
                new LoadPromise("no entry's version went back", load.olderVersions()),
                new LoadPromise("every refusal says when to come back", silent(load)),
                new LoadPromise("every request is accounted for", unaccounted(load)));
    }

    // -- queries

    /** Returns whether nothing speaks against the promise. */
    public boolean isKept() {
        return violations.isEmpty();
    }

    /** Returns the promise and its verdict as text. */
    public String describe() {
        return isKept() ? "  kept    " + text : "  BROKEN  " + text + ": " + String.join("; ", violations);
    }

    private static List<String> keys(Stream<String> keys, Map<String, Integer> runs, int fewest) {
        return keys.filter(key -> runs.getOrDefault(key, 0) >= fewest)
                .map(key -> key + " ran " + runs.get(key) + " times")
                .toList();
    }

    private static List<String> answeredNotRun(LoadReport load, Map<String, Integer> runs) {
        return load.keysOf(LoadOutcome.ANSWERED).stream()
                .filter(key -> runs.getOrDefault(key, 0) != 1)
                .map(key -> key + " ran " + runs.getOrDefault(key, 0) + " times")
                .toList();
    }

    private static List<String> lost(LoadReport load, List<String> killedEntries) {
        return load.lostByEntry().entrySet().stream()
                .filter(entry -> !killedEntries.contains(entry.getKey()))
                .map(entry -> entry.getValue() + " at " + entry.getKey())
                .toList();
    }

    private static List<String> unexpected(LoadReport load) {
        return load.unexpected() == 0 ? List.of() : List.of(load.unexpected() + " were not");
    }

    private static List<String> silent(LoadReport load) {
        long count = load.refusalsWithoutRetryAfter();
        return count == 0 ? List.of() : List.of(count + " did not");
    }

    private static List<String> unaccounted(LoadReport load) {
        long ended = load.answered() + load.refusedNotRun() + load.unknown() + load.lost() + load.unexpected();
        return ended == load.sent() ? List.of() : List.of(load.sent() - ended + " never ended");
    }
}
