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
 * <p>Invariant: the guard refuses new requests before the drain is announced to other nodes. Thread safe.
 */
final class DrainController {
    private final NodeId self;
    private final Runnable drain;
    private final Runnable undrain;
    private final Supplier<EndpointState> state;
    private final Gossip gossip;

    DrainController(NodeId self, Runnable drain, Runnable undrain, Supplier<EndpointState> state, Gossip gossip) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.drain = Objects.requireNonNull(drain, "drain is null");
        this.undrain = Objects.requireNonNull(undrain, "undrain is null");
        this.state = Objects.requireNonNull(state, "state is null");
        this.gossip = Objects.requireNonNull(gossip, "gossip is null");
    }

    /** Drains the target or ends its drain, and announces its state to the other nodes. */
    DrainOutcome setDraining(boolean isDraining) {
        if (isDraining) {
            drain.run();
        } else {
            undrain.run();
        }
        gossip.announceState(state.get());
        return new DrainOutcome.Applied(self, state.get());
    }
}
