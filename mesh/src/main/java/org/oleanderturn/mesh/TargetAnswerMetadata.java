package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.Optional;

/**
 * What a target's answer says beside its status and body.
 *
 * <p>Immutable and thread safe.
 *
 * @param attemptId the attempt that the answer is for, if it says so
 * @param isSigned whether the answer bears the target's signature
 * @param isNotExecuted whether the target says that it did not run the request
 * @param instance the target's instance id, if it says so
 */
public record TargetAnswerMetadata(
        Optional<String> attemptId, boolean isSigned, boolean isNotExecuted, Optional<String> instance) {

    /** Checks that every part is there. */
    public TargetAnswerMetadata {
        Objects.requireNonNull(attemptId, "attemptId is null");
        Objects.requireNonNull(instance, "instance is null");
    }
}
