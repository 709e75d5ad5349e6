package org.oleanderturn.distribution;

import java.util.Objects;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * Another node as this node knows it.
 *
 * <p>Immutable and thread safe.
 *
 * @param heldVersion the newest version that it is known to have held
 * @param isReachable whether it is thought to answer
 */
public record Peer(
        NodeId nodeId, Address address, Locality locality, ConfigurationVersion heldVersion, boolean isReachable) {

    /** Checks that every part is there. */
    public Peer {
        Objects.requireNonNull(nodeId, "nodeId is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(heldVersion, "heldVersion is null");
    }
}
