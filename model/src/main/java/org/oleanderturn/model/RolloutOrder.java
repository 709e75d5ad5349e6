package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;

/**
 * An operator's order to move the requests of a service to the targets that run one version. Encoded as
 * an array.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service
 * @param target the version to move to
 * @param durationMilliseconds the time within which the rollout should end; positive
 * @param revision the store's revision of the order, which tells an order from the one that replaces it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"service", "target", "durationMilliseconds", "revision"})
public record RolloutOrder(ServiceName service, SoftwareVersion target, long durationMilliseconds, long revision) {

    /** Throws when a component is null or the duration is not positive. */
    public RolloutOrder {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(target, "target is null");
        if (durationMilliseconds <= 0) {
            throw new IllegalArgumentException("duration is " + durationMilliseconds + " ms");
        }
    }
}
