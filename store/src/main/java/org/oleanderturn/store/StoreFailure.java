package org.oleanderturn.store;

import java.time.Duration;

/**
 * Why a call to the platform's store gave no result.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface StoreFailure {

    /** Returns whether the call may have taken effect or may yet do so. */
    default boolean isUndetermined() {
        return this instanceof Undetermined || this instanceof Malformed;
    }

    /** The call never reached the store, so it took no effect. */
    record Unreachable(String reason) implements StoreFailure {}

    /** The answer was lost; a write may have taken effect, or may yet do so. */
    record Undetermined(String reason) implements StoreFailure {}

    /** The key's revision was another than expected; nothing was written. */
    record Conflict(long revision) implements StoreFailure {}

    /** The lease ended before the call; nothing was written. */
    record LeaseEnded(LeaseId lease) implements StoreFailure {}

    /** The store or this process's own call budget refused the call; nothing was written. */
    record Throttled(Duration retryAfter) implements StoreFailure {}

    /** The value is larger than the store holds; nothing was written. Sizes are in bytes. */
    record ValueTooLarge(long found, long highest) implements StoreFailure {}

    /** The store's answer was not understood; a write may have taken effect. */
    record Malformed(String reason) implements StoreFailure {}
}
