package org.oleanderturn.mesh;

import java.util.Optional;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.PlacementExplanation;

/** Keeps the limits on the requests of organisations. Implementations are thread safe. */
public interface RequestLimiter {

    /**
     * Takes one request from the limit of an organisation; may block for a short time to ask another node.
     *
     * @param isLate whether the request can no longer be answered within its target latency
     */
    LimitDecision tryAcquire(Organisation organisation, boolean isLate);

    /** Takes back a request that was granted and certainly did not run, so that its client's retry is not counted twice. */
    default void giveBack(Organisation organisation, LimitDecision.Granted granted) {}

    /** Returns what this node knows of the limit of an organisation; empty without a limit. Takes nothing and asks nobody. */
    default Optional<PlacementExplanation.LimitState> state(Organisation organisation) {
        return Optional.empty();
    }

    /** Returns a limiter that grants every request. */
    static RequestLimiter unlimited() {
        return (_, _) -> LimitDecision.Granted.uncounted();
    }
}
