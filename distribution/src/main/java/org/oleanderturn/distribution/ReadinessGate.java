package org.oleanderturn.distribution;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * Decides whether a restarted node may serve requests, from the versions reported by the platform's store and by peers.
 *
 * <p>Invariants: the minimum version never decreases; a node is not ready below it; a node marked as ready stays ready.
 * A node becomes ready only after the platform's store or a ready peer has confirmed the version in force, and after
 * every reachable peer in its zone has responded. Thread safe: the evidence is an immutable value that is replaced
 * atomically.
 */
public final class ReadinessGate {
    private static final Evidence NO_EVIDENCE = new Evidence(ConfigurationVersion.none(), Set.of(), false, false);

    private final AtomicReference<Evidence> evidence = new AtomicReference<>(NO_EVIDENCE);

    private ReadinessGate() {}

    /** Returns a gate without any evidence, for a node that has just started. */
    public static ReadinessGate create() {
        return new ReadinessGate();
    }

    // -- queries

    /** Returns the lowest version that the node may serve with, according to the evidence so far. */
    public ConfigurationVersion minimumVersion() {
        return evidence.get().minimumVersion();
    }

    /**
     * Returns whether the node may serve requests.
     *
     * @param held the version that the node holds
     * @param reachableInZone the other nodes in its zone that are considered reachable
     */
    public Readiness assess(ConfigurationVersion held, Collection<NodeId> reachableInZone) {
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(reachableInZone, "reachableInZone is null");
        Evidence current = evidence.get();
        if (current.wasReady()) {
            return new Readiness.Ready(held);
        }
        List<NodeId> unanswered = reachableInZone.stream()
                .filter(peer -> !current.respondedPeers().contains(peer))
                .sorted()
                .toList();
        if (!unanswered.isEmpty()) {
            return new Readiness.Asking(unanswered);
        }
        if (!current.isConfirmed()) {
            return new Readiness.NoEvidence();
        }
        if (current.minimumVersion().isAfter(held)) {
            return new Readiness.Behind(held, current.minimumVersion());
        }
        return new Readiness.Ready(held);
    }

    // -- commands

    /** Records the version of the head in the platform's store; zero for an absent head. */
    public void observeHead(ConfigurationVersion head) {
        Objects.requireNonNull(head, "head is null");
        evidence.updateAndGet(current -> current.withVersion(head).withConfirmation());
    }

    /** Records the versions reported by a peer. */
    public void observePeer(PeerVersionReport report) {
        Objects.requireNonNull(report, "report is null");
        evidence.updateAndGet(current -> {
            Evidence withVersions = current.withVersion(report.held()).withVersion(report.newestKnown());
            Evidence withResponse = withVersions.withResponseFrom(report.peer());
            return report.isReady() ? withResponse.withConfirmation() : withResponse;
        });
    }

    /** Records that the node has started to serve requests, after which it stays ready. */
    public void markReady() {
        evidence.updateAndGet(current ->
                new Evidence(current.minimumVersion(), current.respondedPeers(), current.isConfirmed(), true));
    }

    private record Evidence(
            ConfigurationVersion minimumVersion, Set<NodeId> respondedPeers, boolean isConfirmed, boolean wasReady) {

        Evidence withVersion(ConfigurationVersion version) {
            return new Evidence(
                    ConfigurationVersion.newest(minimumVersion, version), respondedPeers, isConfirmed, wasReady);
        }

        Evidence withResponseFrom(NodeId peer) {
            Set<NodeId> peers = new HashSet<>(respondedPeers);
            peers.add(peer);
            return new Evidence(minimumVersion, Set.copyOf(peers), isConfirmed, wasReady);
        }

        Evidence withConfirmation() {
            return new Evidence(minimumVersion, respondedPeers, true, wasReady);
        }
    }
}
