package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.distribution.Readiness;
import org.oleanderturn.distribution.ReadinessGate;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * Brings a restarted node to the version below which it must not serve.
 *
 * <p>Invariants: the node is not ready before it has tried to find the other members, so a store that was restored to
 * an older head can't make it serve less than they hold; once ready it stays ready. {@link #step} is for one thread at a
 * time; queries are thread safe.
 */
final class Recovery {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int VOUCHERS = 3;

    private final NodeId self;
    private final Locality locality;
    private final PeerDirectory directory;
    private final ConfigurationHolder holder;
    private final ReadinessGate floor;
    private final Disseminator spreader;
    private final Recollections recollections;
    private final BooleanSupplier isJoined;
    private final RandomGenerator random;
    private final Set<NodeId> answered = new HashSet<>();
    private final AtomicReference<Readiness> readiness = new AtomicReference<>(new Readiness.NoEvidence());

    Recovery(
            NodeId self,
            Locality locality,
            PeerDirectory directory,
            ConfigurationHolder holder,
            ReadinessGate floor,
            Disseminator spreader,
            Recollections recollections,
            BooleanSupplier isJoined,
            RandomGenerator random) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.locality = Objects.requireNonNull(locality, "locality is null");
        this.directory = Objects.requireNonNull(directory, "directory is null");
        this.holder = Objects.requireNonNull(holder, "holder is null");
        this.floor = Objects.requireNonNull(floor, "floor is null");
        this.spreader = Objects.requireNonNull(spreader, "spreader is null");
        this.recollections = Objects.requireNonNull(recollections, "recollections is null");
        this.isJoined = Objects.requireNonNull(isJoined, "isJoined is null");
        this.random = Objects.requireNonNull(random, "random is null");
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
        if (isReady() || !isJoined.getAsBoolean()) {
            return false;
        }
        ask(unanswered());
        Readiness next = floor.assess(holder.version(), directory.reachableIn(locality));
        readiness.set(next);
        if (next.isReady()) {
            floor.markReady();
            log.atInfo().log("ready with configuration %s", holder.version());
        }
        return next.isReady();
    }

    /** Returns each peer of the zone that has not answered, and a few others at random, who may vouch for a version. */
    private List<Peer> unanswered() {
        List<Peer> reachable = new ArrayList<>(
                directory.peers().stream().filter(Peer::isReachable).toList());
        Collections.shuffle(reachable, Random.from(random));
        List<Peer> chosen = new ArrayList<>();
        int vouchers = 0;
        for (Peer peer : reachable) {
            boolean isOwed = peer.locality().equals(locality) && !answered.contains(peer.nodeId());
            if (isOwed) {
                chosen.add(peer);
            } else if (vouchers < VOUCHERS) {
                chosen.add(peer);
                vouchers++;
            }
        }
        return chosen;
    }

    private void ask(List<Peer> peers) {
        List<Either<ControlFailure, PeerVersionReport>> answers =
                recollections.recollectAll(peers.stream().map(Peer::address).toList(), self);
        for (int index = 0; index < peers.size(); index++) {
            Peer peer = peers.get(index);
            answers.get(index).peek(recollection -> take(peer, recollection));
        }
    }

    private void take(Peer peer, PeerVersionReport recollection) {
        floor.observePeer(recollection);
        spreader.recordAdvertisedVersion(peer.address(), recollection.held());
        answered.add(peer.nodeId());
    }
}
