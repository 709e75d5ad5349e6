package org.oleanderturn.traffic;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;

/**
 * Places requests under suspicion by rendezvous hashing: entries with the same view of the endpoints choose the same one,
 * whose guard then runs one of them at a time. Stateless and thread safe.
 */
public final class SuspectPlacement {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 32;

    private SuspectPlacement() {}

    /** Returns the endpoint for a request; empty if all are excluded. */
    public static Optional<Endpoint> choose(List<Endpoint> endpoints, Set<NodeId> excluded, Fingerprint fingerprint) {
        Objects.requireNonNull(fingerprint, "fingerprint is null");
        Optional<Endpoint> best = Optional.empty();
        long highest = Long.MIN_VALUE;
        for (Endpoint endpoint : endpoints) {
            if (excluded.contains(endpoint.node())) {
                continue;
            }
            long weight = weight(fingerprint, endpoint.node());
            if (best.isEmpty() || weight > highest) {
                highest = weight;
                best = Optional.of(endpoint);
            }
        }
        return best;
    }

    private static long weight(Fingerprint fingerprint, NodeId node) {
        long hash =
                ((long) fingerprint.value().hashCode() << SHIFT) ^ node.value().hashCode();
        hash = (hash ^ (hash >>> SHIFT)) * MULTIPLIER;
        return hash ^ (hash >>> SHIFT);
    }
}
