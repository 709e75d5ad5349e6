package org.oleanderturn.node;

import java.util.Objects;
import org.oleanderturn.membership.Gossip;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.proxy.TargetMonitor;

/**
 * Drains the local target and ends its drain.
 *
 * <p>Invariant: the guard refuses new work before other nodes hear of the drain. Thread safe.
 */
final class DrainControl {
    private final NodeId self;
    private final TargetMonitor monitor;
    private final Gossip gossip;

    DrainControl(NodeId self, TargetMonitor monitor, Gossip gossip) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.monitor = Objects.requireNonNull(monitor, "monitor is null");
        this.gossip = Objects.requireNonNull(gossip, "gossip is null");
    }

    /** Drains the target or ends its drain, and tells the other nodes. */
    DrainOutcome apply(boolean isDraining) {
        if (isDraining) {
            monitor.drain();
        } else {
            monitor.undrain();
        }
        gossip.announceState(monitor.state());
        return new DrainOutcome.Applied(self, monitor.state());
    }
}
