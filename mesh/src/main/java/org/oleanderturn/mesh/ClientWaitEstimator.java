package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import org.oleanderturn.model.RouteName;

/**
 * Tells how long a client has waited before this attempt.
 *
 * <p>Clients state how long they still wait. The longest time that any of a route's clients states is that of a first
 * attempt; one that states less has spent the difference on earlier attempts. Thread safe.
 */
final class ClientWaitEstimator {
    private final ConcurrentHashMap<RouteName, Duration> longestTimeouts = new ConcurrentHashMap<>();

    private ClientWaitEstimator() {}

    static ClientWaitEstimator create() {
        return new ClientWaitEstimator();
    }

    /** Returns how long a client that states its patience has waited. */
    Duration estimateWait(RouteName route, Duration patience) {
        Duration first =
                longestTimeouts.merge(route, patience, (known, stated) -> known.compareTo(stated) < 0 ? stated : known);
        return first.minus(patience);
    }
}
