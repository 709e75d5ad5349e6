package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.Peer;

/**
 * Finds out whether a relay of this node's zone supplies it with configurations, sooner than membership does:
 * when many nodes end at once, their failures are detected one after the other.
 *
 * <p>{@link #runOnce} must be called by one thread at a time;
 * queries are thread safe.
 */
final class RelayCheck {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** A change has to be active within two seconds, also when the relay has just ended. */
    private static final long SHORTEST_INTERVAL_MILLISECONDS = 500;

    /** Limits a relay to 100 checks per second regardless of the number of nodes in its zone. */
    private static final long INTERVAL_MILLISECONDS_PER_NODE = 10;

    private final ZoneLeadership leadership;
    private final RelayTransport transport;
    private final Disseminator disseminator;
    private volatile Optional<Peer> supplier = Optional.empty();
    private volatile boolean isSupplied = true;

    RelayCheck(ZoneLeadership leadership, RelayTransport transport, Disseminator disseminator) {
        this.leadership = Objects.requireNonNull(leadership, "leadership is null");
        this.transport = Objects.requireNonNull(transport, "transport is null");
        this.disseminator = Objects.requireNonNull(disseminator, "disseminator is null");
    }

    /** Returns whether this node may leave reading the store to another node of its zone. */
    boolean isSupplied() {
        return isSupplied;
    }

    /** Returns the node that supplied this one at the last check. */
    Optional<Peer> supplier() {
        return supplier;
    }

    /** Checks the relay; blocks until it has answered, and returns the delay before the next check, in milliseconds. */
    long runOnce() {
        List<Peer> earlier = leadership.earlierNodes();
        Optional<Peer> before = supplier;
        supplier = findSupplier(earlier);
        isSupplied = supplier.isPresent();
        if (!supplier.map(Peer::nodeId).equals(before.map(Peer::nodeId))) {
            log.atInfo().log(
                    "supplied with configurations by: %s",
                    supplier.map(peer -> peer.nodeId().toString()).orElse("none"));
        }
        return Math.max(SHORTEST_INTERVAL_MILLISECONDS, INTERVAL_MILLISECONDS_PER_NODE * leadership.zoneSize());
    }

    private Optional<Peer> findSupplier(List<Peer> earlier) {
        return earlier.stream()
                .limit(1)
                .filter(candidate -> transport.askRelay(candidate.address(), false).isRight())
                .findFirst();
    }
}
