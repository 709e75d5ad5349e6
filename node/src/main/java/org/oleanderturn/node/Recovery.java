package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.distribution.PeerRecollection;
import org.oleanderturn.distribution.Readiness;
import org.oleanderturn.distribution.ReadinessFloor;
import org.oleanderturn.distribution.Spreader;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * Brings a restarted node to the version below which it must not serve.
 *
 * <p>Invariant: once ready the node stays ready. {@link #step} is for one thread at a time; queries are thread safe.
 */
final class Recovery {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int PEERS_BEYOND_ZONE = 3;

    private final NodeId self;
    private final Locality locality;
    private final PeerDirectory directory;
    private final ConfigurationHolder holder;
    private final ReadinessFloor floor;
    private final Spreader spreader;
    private final ControlChannel channel;
    private final AtomicReference<Readiness> readiness = new AtomicReference<>(new Readiness.NoEvidence());

    Recovery(
            NodeId self,
            Locality locality,
            PeerDirectory directory,
            ConfigurationHolder holder,
            ReadinessFloor floor,
            Spreader spreader,
            ControlChannel channel) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.locality = Objects.requireNonNull(locality, "locality is null");
        this.directory = Objects.requireNonNull(directory, "directory is null");
        this.holder = Objects.requireNonNull(holder, "holder is null");
        this.floor = Objects.requireNonNull(floor, "floor is null");
        this.spreader = Objects.requireNonNull(spreader, "spreader is null");
        this.channel = Objects.requireNonNull(channel, "channel is null");
    }

    // -- queries

    boolean isReady() {
        return readiness.get().isReady();
    }

    Readiness readiness() {
        return readiness.get();
    }

    // -- commands

    /** Asks the peers that have not answered and assesses anew; returns whether the node has just become ready. */
    boolean step() {
        if (isReady()) {
            return false;
        }
        List<Peer> reachable =
                directory.peers().stream().filter(Peer::isReachable).toList();
        List<Peer> inZone = reachable.stream()
                .filter(peer -> peer.locality().equals(locality))
                .toList();
        inZone.forEach(this::ask);
        if (inZone.isEmpty()) {
            reachable.stream().limit(PEERS_BEYOND_ZONE).forEach(this::ask);
        }
        Readiness next =
                floor.assess(holder.version(), inZone.stream().map(Peer::nodeId).toList());
        readiness.set(next);
        if (next.isReady()) {
            floor.markReady();
            log.atInfo().log("ready with configuration %s", holder.version());
        }
        return next.isReady();
    }

    private void ask(Peer peer) {
        Either<ControlFailure, PeerRecollection> answer = channel.recollect(peer.address(), self);
        answer.peek(floor::observe);
        answer.peek(recollection -> spreader.heard(peer.address(), recollection.held()));
    }
}
