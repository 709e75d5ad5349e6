package org.oleanderturn.node;

import java.util.Objects;
import java.util.OptionalInt;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * Makes the first reachable node of each zone the one that reads configurations and passes them on.
 *
 * <p>Nothing has to be agreed: two nodes that see different members both read, which costs a call; a node that sees
 * itself first reads at once, however the others see it. Thread safe.
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

    /** Returns the role of a node of the given locality. */
    static ZoneLeadership of(NodeId self, Locality locality, PeerDirectory directory) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(directory, "directory is null");
        return new ZoneLeadership(self, locality, directory);
    }

    @Override
    public OptionalInt slot(long nowMilliseconds) {
        for (Peer peer : directory.peers()) {
            boolean isBefore = peer.isReachable()
                    && peer.locality().equals(locality)
                    && peer.nodeId().compareTo(self) < 0;
            if (isBefore) {
                return OptionalInt.empty();
            }
        }
        return OptionalInt.of(0);
    }
}
