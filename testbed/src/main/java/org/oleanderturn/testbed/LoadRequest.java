package org.oleanderturn.testbed;

import java.util.Objects;
import java.util.Optional;

/**
 * One request of a load.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the unique name, which is the idempotency key of a booking
 * @param firstEntry the index of the plan's entry that the first attempt goes to
 * @param dueNanoseconds the scheduled time, on the clock of {@link System#nanoTime}
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
