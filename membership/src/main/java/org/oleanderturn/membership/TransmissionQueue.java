package org.oleanderturn.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderturn.model.NodeId;

/**
 * The nodes whose records this node passes on, each a limited number of times, the least passed on first.
 *
 * <p>Invariant: a node is there once; a new change starts its count anew. Thread safe by its own lock.
 */
final class TransmissionQueue {
    private final Map<NodeId, Integer> transmissions = new HashMap<>();

    synchronized void add(NodeId node) {
        transmissions.put(node, 0);
    }

    synchronized int size() {
        return transmissions.size();
    }

    /** Takes records of at most the given bytes to pass on and counts them. */
    synchronized List<RecordDelta> take(MemberTable table, int bytes, int limit, long nowMilliseconds) {
        List<RecordDelta> taken = new ArrayList<>();
        int remaining = bytes;
        for (NodeId node : byCount()) {
            Optional<RecordDelta> delta = table.entry(node).map(entry -> entry.toDelta(nowMilliseconds));
            if (delta.isEmpty()) {
                transmissions.remove(node);
                continue;
            }
            remaining -= delta.get().boundOnBytes();
            if (remaining < 0) {
                return taken;
            }
            taken.add(delta.get());
            count(node, limit);
        }
        return taken;
    }

    private List<NodeId> byCount() {
        return transmissions.entrySet().stream()
                .sorted(Map.Entry.<NodeId, Integer>comparingByValue()
                        .thenComparing(Map.Entry.comparingByKey(Comparator.naturalOrder())))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void count(NodeId node, int limit) {
        int count = transmissions.merge(node, 1, Integer::sum);
        if (count >= limit) {
            transmissions.remove(node);
        }
    }
}
