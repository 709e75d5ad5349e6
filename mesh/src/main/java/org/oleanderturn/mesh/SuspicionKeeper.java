package org.oleanderturn.mesh;

import org.oleanderturn.traffic.CrashSuspicion;

/**
 * Keeps what a node knows of a request somewhere that survives the node. Implementations are thread safe.
 */
@FunctionalInterface
public interface SuspicionKeeper {

    /** Blocks until another node or the store keeps a suspicion, or until neither can be reached. */
    void keep(CrashSuspicion suspicion);
}
