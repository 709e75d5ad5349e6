package org.oleanderturn.store;

import java.util.Map;

/**
 * How many calls to the store were made since the start, by operation.
 *
 * <p>Immutable and thread safe.
 *
 * @param calls the calls sent on to the store, a watch as one
 * @param failures those of them that gave a failure, conflicts counted
 * @param throttled the calls refused by the process's own budget
 */
public record StoreCounters(
        Map<StoreOperation, Long> calls, Map<StoreOperation, Long> failures, Map<StoreOperation, Long> throttled) {

    /** Copies the maps. */
    public StoreCounters {
        calls = Map.copyOf(calls);
        failures = Map.copyOf(failures);
        throttled = Map.copyOf(throttled);
    }

    /** Returns the calls of every operation together. */
    public long totalCalls() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }
}
