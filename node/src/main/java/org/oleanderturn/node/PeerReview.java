package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.NodeId;

/**
 * Notices which nodes have become unreachable or reachable, and logs it.
 *
 * <p>{@link #run} must be called by one thread at a time.
 */
final class PeerReview {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final Supplier<List<MemberRecord>> reachablePeers;
    private final Predicate<NodeId> hasLeft;
    private final MeshDataPlane data;
    private final Consumer<List<Address>> reachableListener;
    private Map<NodeId, Address> known = Map.of();

    /**
     * Returns a review that has seen no node yet.
     *
     * @param hasLeft returns whether a node announced that it leaves
     * @param reachableListener is told the control addresses of nodes that have become reachable
     */
    PeerReview(
            Supplier<List<MemberRecord>> reachablePeers,
            Predicate<NodeId> hasLeft,
            MeshDataPlane data,
            Consumer<List<Address>> reachableListener) {
        this.reachablePeers = Objects.requireNonNull(reachablePeers, "reachablePeers is null");
        this.hasLeft = Objects.requireNonNull(hasLeft, "hasLeft is null");
        this.data = Objects.requireNonNull(data, "data is null");
        this.reachableListener = Objects.requireNonNull(reachableListener, "reachableListener is null");
    }

    /** Compares with the last review; to be called a few times a second. */
    void run() {
        Map<NodeId, Address> current = new TreeMap<>();
        reachablePeers.get().forEach(peer -> current.put(peer.node(), peer.controlAddress()));
        known.keySet().stream().filter(node -> !current.containsKey(node)).forEach(node -> {
            log.atWarning().log("node %s is unreachable", node);
            data.removePeer(node, hasLeft.test(node));
        });
        List<NodeId> added = current.keySet().stream()
                .filter(node -> !known.containsKey(node))
                .toList();
        added.forEach(node -> log.atInfo().log("node %s is reachable", node));
        reachableListener.accept(added.stream().map(current::get).toList());
        known = current;
    }
}
