package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.Peer;

/**
 * Finds out whether a relay of this node's zone supplies it with configurations, which it does as long as it answers, reads
 * the platform's store, and sends what this release can decode. Membership would notice later: when
 * many nodes end at once, their failures are detected one after the other, and a node that the store turns away is reachable
 * all the while.
 *
 * <p>Each answer also tells the version that the relay holds. {@link #runOnce} must be called by one thread at a time;
 * queries are thread safe.
 */
final class RelayCheck {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** A change has to be active within two seconds, also when the relay has just ended. */
    private static final long SHORTEST_INTERVAL_MILLISECONDS = 500;

    /** Limits a relay to 100 checks per second regardless of the number of nodes in its zone. */
    private static final long INTERVAL_MILLISECONDS_PER_NODE = 10;

    /** How many nodes are asked, in the order in which they would be the relay. */
    private static final int CANDIDATES = 2;

    /**
     * How many checks later each further node takes a zone without a relay as a reason to read the store itself, so that a
     * zone does not read a large configuration as often as it has nodes.
     */
    private static final int CHECKS_PER_RANK = 1;

    private static final int HIGHEST_RANK = 3;

    private final ZoneLeadership leadership;
    private final RelayTransport transport;
    private final Disseminator disseminator;
    private volatile Optional<Peer> supplier = Optional.empty();
    private volatile boolean isSupplied = true;
    private int checksWithoutSupplier;

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
        checksWithoutSupplier = supplier.isPresent() ? 0 : checksWithoutSupplier + 1;
        int rank = Math.min(HIGHEST_RANK, earlier.size());
        boolean isRelayTrusted = supplier.isPresent() || checksWithoutSupplier < rank * CHECKS_PER_RANK;
        isSupplied = isRelayTrusted && !disseminator.isOfferUndecodable();
        if (!supplier.map(Peer::nodeId).equals(before.map(Peer::nodeId))) {
            log.atInfo().log(
                    "supplied with configurations by: %s",
                    supplier.map(peer -> peer.nodeId().toString()).orElse("none"));
        }
        return Math.max(SHORTEST_INTERVAL_MILLISECONDS, INTERVAL_MILLISECONDS_PER_NODE * leadership.zoneSize());
    }

    private Optional<Peer> findSupplier(List<Peer> earlier) {
        for (Peer candidate : earlier.subList(0, Math.min(CANDIDATES, earlier.size()))) {
            Either<ControlFailure, RelayReport> report = transport.askRelay(candidate.address(), false);
            report.forEach(answer -> disseminator.recordAdvertisedVersion(candidate.address(), answer.held()));
            if (report.map(RelayReport::isReading).getOrElse(false)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
