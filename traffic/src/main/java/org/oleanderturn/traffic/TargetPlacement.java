package org.oleanderturn.traffic;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;

/** Chooses the target of an attempt at an entry. Implementations are thread safe and never block. */
public sealed interface TargetPlacement permits LeastLatencyBalancer, EvenLoadBalancer {

    /**
     * Returns the endpoint to which the next attempt goes; empty if all are excluded.
     *
     * @param endpoints the endpoints of one service
     * @param excluded nodes that must not be chosen
     * @param bytes expected bytes of the request and its response
     */
    Optional<Endpoint> choose(List<Endpoint> endpoints, Set<NodeId> excluded, double bytes);
}
