package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.Optional;

/**
 * What a target's response states beside status and body.
 *
 * <p>Immutable and thread safe.
 *
 * @param attemptId the attempt that the response is for, if stated
 * @param isSigned whether the response has the target's signature; its value is not verified
 * @param isNotExecuted whether the target says that it did not run the request
 * @param instance the target's instance id, if stated
 * @param signals what the target asks of the nodes; empty if it can't be read
 */
public record TargetResponseMetadata(
        Optional<String> attemptId,
        boolean isSigned,
        boolean isNotExecuted,
        Optional<String> instance,
        Optional<TargetSignals> signals) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public TargetResponseMetadata {
        Objects.requireNonNull(attemptId, "attemptId is null");
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(signals, "signals is null");
    }
}
