package org.oleanderturn.distribution;

import java.util.Objects;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * The versions known to a peer, reported to a restarted node that needs to know the lowest version it may serve with.
 *
 * <p>Immutable and thread safe.
 *
 * @param isReady whether the peer itself is ready; only the report of a ready peer confirms the version in force
 * @param held the version that the peer holds
 * @param newestKnown the newest version that the peer knows to have been held by the requesting node or any other node
 */
public record PeerVersionReport(
        NodeId peer, boolean isReady, ConfigurationVersion held, ConfigurationVersion newestKnown) {

    /** Throws {@link NullPointerException} if a component is null. */
    public PeerVersionReport {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(newestKnown, "newestKnown is null");
    }
}
