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
 * Keeps a restarted node from serving until its configuration has reached the minimum version of the {@link ReadinessGate}.
 *
 * <p>Invariants: the node is not ready before it has tried to join the other members, so that a store that was restored to
 * an older head can't make it serve an older configuration than they hold; once ready it stays ready. {@link #step} must
 * be called by one thread at a time; queries are thread safe.
 */
final class Recovery {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int RANDOM_PEERS_PER_STEP = 3;

    private final NodeId self;
    private final Locality locality;
    private final PeerDirectory directory;
    private final ConfigurationHolder holder;
    private final ReadinessGate readinessGate;
    private final Disseminator disseminator;
    private final VersionReportTransport reportTransport;
    private final BooleanSupplier hasAttemptedJoin;
    private final RandomGenerator random;
    private final Set<NodeId> answered = new HashSet<>();
    private final AtomicReference<Readiness> readiness = new AtomicReference<>(new Readiness.NoEvidence());

    Recovery(
            NodeId self,
            Locality locality,
            PeerDirectory directory,
            ConfigurationHolder holder,
            ReadinessGate readinessGate,
            Disseminator disseminator,
            VersionReportTransport reportTransport,
            BooleanSupplier hasAttemptedJoin,
            RandomGenerator random) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.locality = Objects.requireNonNull(locality, "locality is null");
        this.directory = Objects.requireNonNull(directory, "directory is null");
        this.holder = Objects.requireNonNull(holder, "holder is null");
        this.readinessGate = Objects.requireNonNull(readinessGate, "readinessGate is null");
        this.disseminator = Objects.requireNonNull(disseminator, "disseminator is null");
        this.reportTransport = Objects.requireNonNull(reportTransport, "reportTransport is null");
        this.hasAttemptedJoin = Objects.requireNonNull(hasAttemptedJoin, "hasAttemptedJoin is null");
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

    /** Queries peers and reassesses readiness; returns whether the node has just become ready. */
    boolean step() {
        if (isReady() || !hasAttemptedJoin.getAsBoolean()) {
            return false;
        }
        requestReports(peersToAsk());
        Readiness next = readinessGate.assess(holder.version(), directory.reachableIn(locality));
        readiness.set(next);
        if (next.isReady()) {
            readinessGate.markReady();
            log.atInfo().log("ready with configuration %s", holder.version());
        }
        return next.isReady();
    }

    /** Returns each peer of the zone that has not answered yet, and a few random others that may know a newer version. */
    private List<Peer> peersToAsk() {
        List<Peer> reachable = new ArrayList<>(
                directory.peers().stream().filter(Peer::isReachable).toList());
        Collections.shuffle(reachable, Random.from(random));
        List<Peer> chosen = new ArrayList<>();
        int randomPeers = 0;
        for (Peer peer : reachable) {
            boolean isAnswerNeeded = peer.locality().equals(locality) && !answered.contains(peer.nodeId());
            if (isAnswerNeeded) {
                chosen.add(peer);
            } else if (randomPeers < RANDOM_PEERS_PER_STEP) {
                chosen.add(peer);
                randomPeers++;
            }
        }
        return chosen;
    }

    private void requestReports(List<Peer> peers) {
        List<Either<ControlFailure, PeerVersionReport>> answers = reportTransport.requestVersionReports(
                peers.stream().map(Peer::address).toList(), self);
        for (int index = 0; index < peers.size(); index++) {
            Peer peer = peers.get(index);
            answers.get(index).peek(report -> recordReport(peer, report));
        }
    }

    private void recordReport(Peer peer, PeerVersionReport report) {
        readinessGate.observePeer(report);
        disseminator.recordAdvertisedVersion(peer.address(), report.held());
        answered.add(peer.nodeId());
    }
}
