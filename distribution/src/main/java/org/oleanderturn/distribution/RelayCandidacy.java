package org.oleanderturn.distribution;

import java.util.Objects;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;

/**
 * Says whether this node is to stand for relay: it is in the platform's region and among the first few reachable nodes
 * of its zone.
 *
 * <p>Invariant: nodes that agree on who is reachable agree on at most {@link #CANDIDATES_PER_ZONE} candidates a zone, so the
 * calls of the election don't grow with the nodes. Thread safe.
 */
public final class RelayCandidacy {
    /** How many nodes of a zone stand for relay. */
    public static final int CANDIDATES_PER_ZONE = 4;

    private final NodeId self;
    private final Locality locality;
    private final Region platformRegion;
    private final PeerDirectory directory;

    private RelayCandidacy(NodeId self, Locality locality, Region platformRegion, PeerDirectory directory) {
        this.self = self;
        this.locality = locality;
        this.platformRegion = platformRegion;
        this.directory = directory;
    }

    /** Returns the candidacy of a node. */
    public static RelayCandidacy of(NodeId self, Locality locality, Region platformRegion, PeerDirectory directory) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(platformRegion, "platformRegion is null");
        Objects.requireNonNull(directory, "directory is null");
        return new RelayCandidacy(self, locality, platformRegion, directory);
    }

    /** Returns whether this node is to stand for relay. */
    public boolean isCandidate() {
        if (!locality.region().equals(platformRegion)) {
            return false;
        }
        long before = directory.peers().stream()
                .filter(Peer::isReachable)
                .filter(peer -> peer.locality().equals(locality))
                .filter(peer -> peer.nodeId().compareTo(self) < 0)
                .count();
        return before < CANDIDATES_PER_ZONE;
    }
}
