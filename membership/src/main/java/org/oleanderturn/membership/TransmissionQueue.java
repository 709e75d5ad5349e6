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
 * The nodes whose updates are to be piggybacked on messages, each a limited number of times, least transmitted first.
 *
 * <p>Invariant: a node occurs only once; a new change resets its count. Thread safe by its own lock.
 *
 * @param <T> the type of the updates
 */
final class TransmissionQueue<T> {
    private final Map<NodeId, Integer> transmissions = new HashMap<>();
    private final ToIntFunction<T> maximumEncodedBytes;

    TransmissionQueue(ToIntFunction<T> maximumEncodedBytes) {
        this.maximumEncodedBytes = maximumEncodedBytes;
    }

    synchronized void add(NodeId node) {
        transmissions.put(node, 0);
    }

    /**
     * Returns the next updates to send, up to the given size, and counts their transmission.
     *
     * @param maximumBytes limit of the encoded size
     * @param limit number of transmissions after which a node is removed
     * @param updates supplies the current update of a node; a node without one is removed
     */
    synchronized List<T> take(int maximumBytes, int limit, Function<NodeId, Optional<T>> updates) {
        List<T> taken = new ArrayList<>();
        int remaining = maximumBytes;
        for (NodeId node : leastTransmittedFirst()) {
            Optional<T> update = updates.apply(node);
            if (update.isEmpty()) {
                transmissions.remove(node);
                continue;
            }
            remaining -= maximumEncodedBytes.applyAsInt(update.get());
            if (remaining < 0) {
                return taken;
            }
            taken.add(update.get());
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
