package org.oleanderturn.distribution;

import java.util.List;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/** Knows the other nodes. Implementations are thread safe. */
public interface PeerDirectory {

    /** Returns every other node known, this node not among them. */
    List<Peer> peers();

    /** Returns the ids of the reachable peers of a zone. */
    default List<NodeId> reachableIn(Locality locality) {
        return peers().stream()
                .filter(Peer::isReachable)
                .filter(peer -> peer.locality().equals(locality))
                .map(Peer::nodeId)
                .toList();
    }
}
