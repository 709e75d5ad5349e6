package org.oleanderturn.node;

import java.util.Objects;
import java.util.function.Supplier;
import org.oleanderturn.membership.Gossip;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.NodeId;

/**
 * Drains the local target and ends its drain.
 *
 * <p>Invariant: the guard refuses new work before other nodes hear of the drain. Thread safe.
 */
final class DrainControl {
    private final NodeId self;
    private final Runnable drain;
    private final Runnable undrain;
    private final Supplier<EndpointState> state;
    private final Gossip gossip;

    DrainControl(NodeId self, Runnable drain, Runnable undrain, Supplier<EndpointState> state, Gossip gossip) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.drain = Objects.requireNonNull(drain, "drain is null");
        this.undrain = Objects.requireNonNull(undrain, "undrain is null");
        this.state = Objects.requireNonNull(state, "state is null");
        this.gossip = Objects.requireNonNull(gossip, "gossip is null");
    }

    /** Drains the target or ends its drain, and tells the other nodes. */
    DrainOutcome apply(boolean isDraining) {
        if (isDraining) {
            drain.run();
        } else {
            undrain.run();
        }
        gossip.announceState(state.get());
        return new DrainOutcome.Applied(self, state.get());
    }
}
