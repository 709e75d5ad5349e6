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
public final class ReadinessFloor {
    private static final Evidence NOTHING = new Evidence(ConfigurationVersion.none(), Set.of(), false, false);

    private final AtomicReference<Evidence> evidence = new AtomicReference<>(NOTHING);

    private ReadinessFloor() {}

    /** Returns the floor of a node that has heard nothing yet. */
    public static ReadinessFloor unknown() {
        return new ReadinessFloor();
    }

    // -- queries

    /** Returns the floor as far as it is known. */
    public ConfigurationVersion version() {
        return evidence.get().floor();
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
                .filter(peer -> !known.answered().contains(peer))
                .sorted()
                .toList();
        if (!unanswered.isEmpty()) {
            return new Readiness.Asking(unanswered);
        }
        if (!known.isVouchedFor()) {
            return new Readiness.NoEvidence();
        }
        if (known.floor().isAfter(held)) {
            return new Readiness.Behind(held, known.floor());
        }
        return new Readiness.Ready(held);
    }

    // -- commands

    /** Takes note of the head in the platform's store; an absent head is version zero. */
    public void observeHead(ConfigurationVersion head) {
        Objects.requireNonNull(head, "head is null");
        evidence.updateAndGet(known -> known.raised(head).vouched());
    }

    /** Takes note of a peer's answer. */
    public void observe(PeerRecollection answer) {
        Objects.requireNonNull(answer, "answer is null");
        evidence.updateAndGet(known -> {
            Evidence raised = known.raised(answer.held()).raised(answer.newestKnown());
            Evidence heard = raised.answeredBy(answer.peer());
            return answer.isReady() ? heard.vouched() : heard;
        });
    }

    /** Takes note that the node has begun to serve, after which it stays ready. */
    public void markReady() {
        evidence.updateAndGet(known -> new Evidence(known.floor(), known.answered(), known.isVouchedFor(), true));
    }

    private record Evidence(ConfigurationVersion floor, Set<NodeId> answered, boolean isVouchedFor, boolean wasReady) {

        Evidence raised(ConfigurationVersion version) {
            return new Evidence(ConfigurationVersion.newest(floor, version), answered, isVouchedFor, wasReady);
        }

        Evidence answeredBy(NodeId peer) {
            Set<NodeId> more = new HashSet<>(answered);
            more.add(peer);
            return new Evidence(floor, Set.copyOf(more), isVouchedFor, wasReady);
        }

        Evidence vouched() {
            return new Evidence(floor, answered, true, wasReady);
        }
    }
}
