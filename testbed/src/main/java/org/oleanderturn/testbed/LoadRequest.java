package org.oleanderturn.testbed;

import java.util.Objects;
import java.util.Optional;

/**
 * One request of a load.
 *
 * <p>Immutable and thread safe.
 *
 * @param name identifies it; the idempotency key of a booking
 * @param firstEntry which of the plan's entries it is sent to first
 * @param dueNanoseconds when the schedule sends it
 */
record LoadRequest(LoadKind kind, String name, int firstEntry, long dueNanoseconds) {

    LoadRequest {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(name, "name is null");
    }

    /** Returns the idempotency key; empty unless this is a booking. */
    Optional<String> bookingKey() {
        return kind == LoadKind.BOOKING ? Optional.of(name) : Optional.empty();
    }
}
