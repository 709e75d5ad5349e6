package org.oleanderturn.distribution;

import java.util.Objects;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;

/**
 * Decides whether this node is a candidate in the relay election of its zone: it has to be in the platform's region and
 * among the first few reachable nodes of the zone, ordered by id.
 *
 * <p>Invariant: nodes that agree on which nodes are reachable agree on at most {@link #CANDIDATES_PER_ZONE} candidates
 * per zone, so that the election's calls to the store do not grow with the number of nodes. Thread safe.
 */
public final class RelayCandidacy {
    /** The maximum number of candidates in a zone. */
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

    /** Returns the candidacy of the node with the given id and locality. */
    public static RelayCandidacy of(NodeId self, Locality locality, Region platformRegion, PeerDirectory directory) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(platformRegion, "platformRegion is null");
        Objects.requireNonNull(directory, "directory is null");
        return new RelayCandidacy(self, locality, platformRegion, directory);
    }

    /** Returns whether this node is currently a candidate. */
    public boolean isCandidate() {
        if (!locality.region().equals(platformRegion)) {
            return false;
        }
        long nodesWithLowerId = directory.peers().stream()
                .filter(Peer::isReachable)
                .filter(peer -> peer.locality().equals(locality))
                .filter(peer -> peer.nodeId().compareTo(self) < 0)
                .count();
        return nodesWithLowerId < CANDIDATES_PER_ZONE;
    }
}
