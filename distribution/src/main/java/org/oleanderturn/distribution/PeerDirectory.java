package org.oleanderturn.distribution;

import java.util.List;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/** The peers known to this node. Implementations are thread safe. */
public interface PeerDirectory {

    /** Returns all known peers, without this node itself. */
    List<Peer> peers();

    /** Returns the ids of the reachable peers in a zone; empty when there are none. */
    default List<NodeId> reachableIn(Locality locality) {
        return peers().stream()
                .filter(Peer::isReachable)
                .filter(peer -> peer.locality().equals(locality))
                .map(Peer::nodeId)
                .toList();
    }
}
