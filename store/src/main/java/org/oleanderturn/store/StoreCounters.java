package org.oleanderturn.store;

import java.util.Map;

/**
 * How many calls to the store this process has made since its start, by operation.
 *
 * <p>Immutable and thread safe.
 *
 * @param calls the calls made to the store; a watch counts as one
 * @param failures those of them that failed, including conflicts
 * @param throttled the calls refused by this process's own rate limit
 */
public record StoreCounters(
        Map<StoreOperation, Long> calls, Map<StoreOperation, Long> failures, Map<StoreOperation, Long> throttled) {

    /** Copies the maps; throws a {@link NullPointerException} when one is null. */
    public StoreCounters {
        calls = Map.copyOf(calls);
        failures = Map.copyOf(failures);
        throttled = Map.copyOf(throttled);
    }

    /** Returns the sum of the calls of all operations. */
    public long totalCalls() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }
}
