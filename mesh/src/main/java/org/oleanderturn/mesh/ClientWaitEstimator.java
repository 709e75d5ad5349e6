package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import org.oleanderturn.model.RouteName;

/**
 * Estimates how long a client had waited before its current attempt.
 *
 * <p>Each attempt states how long its client still waits. The longest such timeout seen on a route is taken as that of a
 * first attempt; an attempt with a shorter one has a client that spent the difference on earlier attempts. Thread safe.
 */
final class ClientWaitEstimator {
    private final ConcurrentHashMap<RouteName, Duration> longestTimeouts = new ConcurrentHashMap<>();

    private ClientWaitEstimator() {}

    static ClientWaitEstimator create() {
        return new ClientWaitEstimator();
    }

    /** Returns the estimated earlier wait of a client that still waits for the given time; zero for a first attempt. */
    Duration estimateWait(RouteName route, Duration timeout) {
        Duration longest =
                longestTimeouts.merge(route, timeout, (known, stated) -> known.compareTo(stated) < 0 ? stated : known);
        return longest.minus(timeout);
    }
}
