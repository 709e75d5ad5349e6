package org.oleanderturn.traffic;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;

/**
 * What one node knows of a rollout: all that it has counted since it learned of the order, so that a node which begins to
 * judge needs nothing from the one that judged before. Encoded as an array.
 *
 * <p>Immutable and thread safe.
 *
 * @param order the revision of the order
 * @param stage the stage that the node acts on
 * @param elapsedMilliseconds how long ago the order was first read, as far as the node knows
 * @param currentInFlight how many of the node's attempts at targets of the old version have not ended
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"node", "service", "order", "stage", "elapsedMilliseconds", "currentInFlight", "routes"})
public record RolloutReport(
        NodeId node,
        ServiceName service,
        long order,
        RolloutStage stage,
        long elapsedMilliseconds,
        int currentInFlight,
        List<RolloutRouteCounts> routes) {

    /** Copies the list; throws a {@link NullPointerException} when a component is null. */
    public RolloutReport {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(stage, "stage is null");
        routes = List.copyOf(routes);
    }
}
