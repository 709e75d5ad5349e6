package org.oleanderturn.node;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;
import org.oleanderturn.model.RolloutOrder;
import org.oleanderturn.traffic.RolloutStage;

/**
 * How far the judge says that a rollout is. Encoded as an array, as every node is sent it often.
 *
 * <p>Immutable and thread safe.
 *
 * @param isPermitted whether the answered report allows requests to the new version for a while
 * @param isSettled whether the store holds the end of the rollout, after which nothing changes it
 * @param elapsedMilliseconds how long ago the order was first read
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"order", "stage", "isPermitted", "isSettled", "elapsedMilliseconds"})
public record RolloutDirective(
        RolloutOrder order, RolloutStage stage, boolean isPermitted, boolean isSettled, long elapsedMilliseconds) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public RolloutDirective {
        Objects.requireNonNull(order, "order is null");
        Objects.requireNonNull(stage, "stage is null");
    }
}
