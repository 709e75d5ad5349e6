package org.oleanderturn.node;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * Makes the reachable node with the lowest id in each zone its relay, which reads configurations and passes them on.
 *
 * <p>No agreement is needed. Nodes with different views of the membership may both be relays, which costs one extra call
 * to the store; a node becomes a relay as soon as it has the lowest id in its own view. Thread safe.
 */
final class ZoneLeadership implements RelayRole {
    private final NodeId self;
    private final Locality locality;
    private final PeerDirectory directory;

    private ZoneLeadership(NodeId self, Locality locality, PeerDirectory directory) {
        this.self = self;
        this.locality = locality;
        this.directory = directory;
    }

    /** Returns the role of a node in the given locality. */
    static ZoneLeadership of(NodeId self, Locality locality, PeerDirectory directory) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(directory, "directory is null");
        return new ZoneLeadership(self, locality, directory);
    }

    @Override
    public OptionalInt slot(long nowMilliseconds) {
        return relay().isPresent() ? OptionalInt.empty() : OptionalInt.of(0);
    }

    /** Returns the relay of this node's zone; empty if it is this node. */
    Optional<Peer> relay() {
        return earlierNodes().stream().findFirst();
    }

    /** Returns the reachable nodes of this node's zone that would be its relay before this node, the first one first. */
    List<Peer> earlierNodes() {
        return directory.peers().stream()
                .filter(peer -> peer.isReachable() && peer.locality().equals(locality))
                .filter(peer -> peer.nodeId().compareTo(self) < 0)
                .sorted(Comparator.comparing(Peer::nodeId))
                .toList();
    }

    /** Returns the number of reachable nodes in this node's zone, this one included. */
    int zoneSize() {
        int size = 1;
        for (Peer peer : directory.peers()) {
            size += peer.isReachable() && peer.locality().equals(locality) ? 1 : 0;
        }
        return size;
    }
}
