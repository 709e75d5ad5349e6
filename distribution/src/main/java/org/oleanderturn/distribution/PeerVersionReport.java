package org.oleanderturn.distribution;

import java.util.Objects;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * A peer's answer to a restarted node that asks what it has to catch up with.
 *
 * <p>Immutable and thread safe.
 *
 * @param isReady whether the peer itself is ready; one that is not vouches for nothing
 * @param held the version that the peer holds
 * @param newestKnown the newest version that the peer knows the asking node, or any node at all, to have held
 */
public record PeerVersionReport(
        NodeId peer, boolean isReady, ConfigurationVersion held, ConfigurationVersion newestKnown) {

    /** Checks that every part is there. */
    public PeerVersionReport {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(newestKnown, "newestKnown is null");
    }
}
