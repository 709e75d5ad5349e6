package org.oleanderturn.node;

import java.util.Objects;
import org.oleanderturn.mesh.SuspicionKeeper;
import org.oleanderturn.traffic.CrashSuspicion;

/** Keeps suspicions at another node, or in the store if no other node answers. Immutable and thread safe. */
final class SuspicionReplicator implements SuspicionKeeper {
    private final SuspicionExchange exchange;
    private final SuspicionStore store;

    SuspicionReplicator(SuspicionExchange exchange, SuspicionStore store) {
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
        this.store = Objects.requireNonNull(store, "store is null");
    }

    @Override
    public void keep(CrashSuspicion suspicion) {
        if (!exchange.keepAtPeer(suspicion)) {
            store.keep();
        }
    }
}
