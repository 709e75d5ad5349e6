package org.oleanderturn.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.oleanderturn.model.NodeId;

/**
 * The nodes of which this node passes something on, each a limited number of times, the least passed on first.
 *
 * <p>Invariant: a node is there once; a new change starts its count anew. Thread safe by its own lock.
 *
 * @param <T> what is passed on of a node
 */
final class TransmissionQueue<T> {
    private final Map<NodeId, Integer> transmissions = new HashMap<>();
    private final ToIntFunction<T> maximumEncodedBytes;

    TransmissionQueue(ToIntFunction<T> boundOnBytes) {
        this.maximumEncodedBytes = boundOnBytes;
    }

    synchronized void add(NodeId node) {
        transmissions.put(node, 0);
    }

    /** Takes items of at most the given bytes to pass on and counts them; a node without an item is dropped. */
    synchronized List<T> take(int bytes, int limit, Function<NodeId, Optional<T>> items) {
        List<T> taken = new ArrayList<>();
        int remaining = bytes;
        for (NodeId node : leastTransmittedFirst()) {
            Optional<T> item = items.apply(node);
            if (item.isEmpty()) {
                transmissions.remove(node);
                continue;
            }
            remaining -= maximumEncodedBytes.applyAsInt(item.get());
            if (remaining < 0) {
                return taken;
            }
            taken.add(item.get());
            countTransmission(node, limit);
        }
        return taken;
    }

    private List<NodeId> leastTransmittedFirst() {
        return transmissions.entrySet().stream()
                .sorted(Map.Entry.<NodeId, Integer>comparingByValue()
                        .thenComparing(Map.Entry.comparingByKey(Comparator.naturalOrder())))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void countTransmission(NodeId node, int limit) {
        int count = transmissions.merge(node, 1, Integer::sum);
        if (count >= limit) {
            transmissions.remove(node);
        }
    }
}
