package org.oleanderturn.node;

import java.util.Optional;
import org.oleanderturn.mesh.Decision;

/**
 * What a node of a {@link ConfigurationFleet} answered to a request for a route, or for none. Immutable and thread safe.
 *
 * @param isInTouch whether the node was in touch when the request came
 * @param nanoseconds when the request came
 */
record ConfigurationProbe(
        int host,
        Optional<OperatorVersions.Route> route,
        Decision.Answered answer,
        boolean isInTouch,
        long nanoseconds) {
    private static final int NOT_FOUND = 404;

    /** Returns whether the request was handled as only a version older than the given one allows. */
    boolean isByVersionBefore(OperatorVersions.Version inForce) {
        if (answer.status() == NOT_FOUND) {
            return route.filter(inForce.routes()::contains).isPresent();
        }
        return answer.version().number() != 0
                && answer.version().number() < inForce.number()
                && route.filter(inForce.changedRoute()::equals).isPresent();
    }
}
