package org.oleanderturn.store;

import java.time.Duration;

/**
 * Why a call to the store returned no result.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface StoreFailure {

    /** Returns whether the call may have taken effect or may still do so. */
    default boolean isUndetermined() {
        return this instanceof Undetermined || this instanceof Malformed;
    }

    /** The call never reached the store, so it took no effect. */
    record Unreachable(String reason) implements StoreFailure {}

    /** The response was lost; a write may have taken effect or may still do so. */
    record Undetermined(String reason) implements StoreFailure {}

    /** The key had the stated revision instead of the expected one; nothing was written. */
    record Conflict(long revision) implements StoreFailure {}

    /** The lease ended before the call; nothing was written. */
    record LeaseEnded(LeaseId lease) implements StoreFailure {}

    /** The store or this process's own rate limit refused the call; nothing was written. */
    record Throttled(Duration retryAfter) implements StoreFailure {}

    /** The value is larger than the store accepts; nothing was written. Sizes are in bytes. */
    record ValueTooLarge(long found, long highest) implements StoreFailure {}

    /** The store's response could not be decoded; a write may have taken effect. */
    record Malformed(String reason) implements StoreFailure {}
}
