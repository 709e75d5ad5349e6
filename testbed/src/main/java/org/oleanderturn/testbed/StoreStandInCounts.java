package org.oleanderturn.testbed;

import java.util.Map;

/**
 * The counts of a store stand-in since its start; the response body of {@code GET /admin/counts}.
 *
 * <p>Immutable and thread safe.
 *
 * @param calls the number of calls by operation, refused ones included; a watch counts once however long it waits
 * @param refused the calls refused because the rate limit was exceeded
 * @param writes the writes that took effect, lease operations included
 * @param writtenBytes the total length of the values written
 */
public record StoreStandInCounts(Map<String, Long> calls, long refused, long writes, long writtenBytes) {

    /** Copies the map; throws {@link NullPointerException} when it is null. */
    public StoreStandInCounts {
        calls = Map.copyOf(calls);
    }

    /** Returns the number of calls of all operations. */
    public long total() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }
}
