package org.oleanderturn.testbed;

import java.util.Map;

/**
 * What a stand-in of the store has counted since its start; the answer to {@code GET /admin/counts}.
 *
 * <p>Immutable and thread safe.
 *
 * @param calls every call, a waiting watch as one, by operation
 * @param refused the calls refused for their rate
 * @param writes the writes that took effect
 * @param writtenBytes the bytes of the values written
 */
public record StoreStandInCounts(Map<String, Long> calls, long refused, long writes, long writtenBytes) {

    /** Copies the map. */
    public StoreStandInCounts {
        calls = Map.copyOf(calls);
    }

    /** Returns the calls of every operation together. */
    public long total() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }
}
