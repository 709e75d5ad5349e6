package org.oleanderturn.distribution;

import java.util.List;

/** Knows the other nodes. Implementations are thread safe. */
public interface PeerDirectory {

    /** Returns every other node known, this node not among them. */
    List<Peer> peers();
}
