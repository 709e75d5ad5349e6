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
 * The lowest version with which a restarted node may serve.
 *
 * <p>Invariants: the floor never falls; a node is not ready below it; a node that is ready stays so. A node is ready
 * only on the word of the platform's store or of a peer that is itself ready, and never before each reachable peer of
 * its zone has answered. Thread safe: the evidence is one immutable value that is replaced.
 */
public final class ReadinessGate {
    private static final Evidence NO_EVIDENCE = new Evidence(ConfigurationVersion.none(), Set.of(), false, false);

    private final AtomicReference<Evidence> evidence = new AtomicReference<>(NO_EVIDENCE);

    private ReadinessGate() {}

    /** Returns the floor of a node that has heard nothing yet. */
    public static ReadinessGate create() {
        return new ReadinessGate();
    }

    // -- queries

    /** Returns the floor as far as it is known. */
    public ConfigurationVersion minimumVersion() {
        return evidence.get().minimumVersion();
    }

    /**
     * Returns whether the node may serve.
     *
     * @param held the version that it holds
     * @param reachableInZone the other nodes of its zone that are thought to answer
     */
    public Readiness assess(ConfigurationVersion held, Collection<NodeId> reachableInZone) {
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(reachableInZone, "reachableInZone is null");
        Evidence known = evidence.get();
        if (known.wasReady()) {
            return new Readiness.Ready(held);
        }
        List<NodeId> unanswered = reachableInZone.stream()
                .filter(peer -> !known.respondedPeers().contains(peer))
                .sorted()
                .toList();
        if (!unanswered.isEmpty()) {
            return new Readiness.Asking(unanswered);
        }
        if (!known.isConfirmed()) {
            return new Readiness.NoEvidence();
        }
        if (known.minimumVersion().isAfter(held)) {
            return new Readiness.Behind(held, known.minimumVersion());
        }
        return new Readiness.Ready(held);
    }

    // -- commands

    /** Takes note of the head in the platform's store; an absent head is version zero. */
    public void observeHead(ConfigurationVersion head) {
        Objects.requireNonNull(head, "head is null");
        evidence.updateAndGet(known -> known.withVersion(head).withConfirmation());
    }

    /** Takes note of a peer's answer. */
    public void observePeer(PeerVersionReport answer) {
        Objects.requireNonNull(answer, "answer is null");
        evidence.updateAndGet(known -> {
            Evidence raised = known.withVersion(answer.held()).withVersion(answer.newestKnown());
            Evidence heard = raised.withResponseFrom(answer.peer());
            return answer.isReady() ? heard.withConfirmation() : heard;
        });
    }

    /** Takes note that the node has begun to serve, after which it stays ready. */
    public void markReady() {
        evidence.updateAndGet(
                known -> new Evidence(known.minimumVersion(), known.respondedPeers(), known.isConfirmed(), true));
    }

    private record Evidence(
            ConfigurationVersion minimumVersion, Set<NodeId> respondedPeers, boolean isConfirmed, boolean wasReady) {

        Evidence withVersion(ConfigurationVersion version) {
            return new Evidence(
                    ConfigurationVersion.newest(minimumVersion, version), respondedPeers, isConfirmed, wasReady);
        }

        Evidence withResponseFrom(NodeId peer) {
            Set<NodeId> more = new HashSet<>(respondedPeers);
            more.add(peer);
            return new Evidence(minimumVersion, Set.copyOf(more), isConfirmed, wasReady);
        }

        Evidence withConfirmation() {
            return new Evidence(minimumVersion, respondedPeers, true, wasReady);
        }
    }
}
