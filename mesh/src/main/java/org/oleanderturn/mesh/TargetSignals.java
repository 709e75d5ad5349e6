package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * What a target asks of the nodes in a response, valid until a later response says otherwise.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestsPerSecond the rate that the target takes from all nodes together; empty if it doesn't limit it
 * @param isLeaving whether the target accepts no new requests and exits soon
 */
public record TargetSignals(OptionalDouble requestsPerSecond, boolean isLeaving) {

    /** Throws a {@link NullPointerException} when the rate is null. */
    public TargetSignals {
        Objects.requireNonNull(requestsPerSecond, "requestsPerSecond is null");
    }

    /** Returns the signals of a target that asks nothing. */
    public static TargetSignals none() {
        return new TargetSignals(OptionalDouble.empty(), false);
    }
}
