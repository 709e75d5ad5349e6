package org.oleanderturn.distribution;

import java.util.Objects;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * Another node, as known to this node.
 *
 * <p>Immutable and thread safe.
 *
 * @param heldVersion the newest version that the peer is known to have held
 * @param isReachable whether this node considers the peer reachable
 */
public record Peer(
        NodeId nodeId, Address address, Locality locality, ConfigurationVersion heldVersion, boolean isReachable) {

    /** Throws {@link NullPointerException} if a component is null. */
    public Peer {
        Objects.requireNonNull(nodeId, "nodeId is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(heldVersion, "heldVersion is null");
    }
}
