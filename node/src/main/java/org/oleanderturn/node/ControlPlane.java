package org.oleanderturn.node;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.HeadWatcher;
import org.oleanderturn.distribution.ProposalAcceptor;
import org.oleanderturn.distribution.ReadinessGate;
import org.oleanderturn.distribution.RelayCandidacy;
import org.oleanderturn.distribution.RelayElection;
import org.oleanderturn.distribution.RelayRegistration;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.distribution.SnapshotHistory;
import org.oleanderturn.distribution.UpdateSource;
import org.oleanderturn.membership.Gossip;
import org.oleanderturn.membership.GossipSettings;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.membership.MembershipListener;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.store.Store;

/**
 * A node's part in membership and in the distribution of configurations.
 *
 * <p>Invariant: the parts are wired once and never replaced. Thread safe.
 */
final class ControlPlane {
    private static final long GOSSIP_PAUSE_MILLISECONDS = 200;
    private static final long SPREAD_PAUSE_MILLISECONDS = 100;
    private static final long ELECTION_PAUSE_MILLISECONDS = 1_000;
    /** How often a node that is ready, and stays so, looks after its recovery. */
    private static final long READY_PAUSE_MILLISECONDS = 10_000;

    private static final long RECOVERY_PAUSE_MILLISECONDS = 100;
    private static final int UNKNOWN_SLOTS = 1;

    /** Chooses which nodes pass configurations on to other zones. */
    interface RoleChoice {

        /** Returns this node's role. */
        RelayRole choose(RelayElection election, MemberDirectory directory);
    }

    private final ConfigurationHolder holder = ConfigurationHolder.empty();
    private final ReadinessGate floor = ReadinessGate.create();
    private final Gossip gossip;
    private final MemberDirectory directory;
    private final RelayElection election;
    private final RelayRole role;
    private final HeadWatcher watch;
    private final Disseminator spreader;
    private final ProposalAcceptor acceptor;
    private final Recovery recovery;
    private final Joining joining;
    private final LongSupplier milliseconds;

    ControlPlane(
            NodeSettings settings,
            Store store,
            ControlChannel channel,
            LongSupplier milliseconds,
            GossipSettings gossipSettings,
            RoleChoice roles,
            MembershipListener listener) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(channel, "channel is null");
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
        RandomGenerator random = new SplittableRandom(new SecureRandom().nextLong());
        this.gossip = Gossip.of(localRecord(settings), gossipSettings, channel, milliseconds, random, listener);
        this.directory = new MemberDirectory(gossip::table);
        this.election = election(settings, store, directory, split(random));
        this.role = roles.choose(election, directory);
        this.watch = HeadWatcher.of(
                store,
                election,
                holder,
                floor,
                settings.locality(),
                settings.platformRegion(),
                directory,
                split(random));
        SnapshotHistory history = SnapshotHistory.of(holder);
        this.spreader = Disseminator.of(
                holder,
                UpdateSource.of(holder, history),
                channel,
                directory,
                role,
                settings.locality(),
                settings.platformRegion(),
                split(random));
        this.acceptor = ProposalAcceptor.of(store, holder, history, this::newestVersion);
        this.joining =
                new Joining(gossip, settings.join(), new Rendezvous(store, election, milliseconds), split(random));
        this.recovery = new Recovery(
                settings.node(),
                settings.locality(),
                directory,
                holder,
                floor,
                spreader,
                channel,
                joining::hasTried,
                split(random));
    }

    // -- parts

    ReadinessGate floor() {
        return floor;
    }

    ConfigurationHolder holder() {
        return holder;
    }

    Gossip gossip() {
        return gossip;
    }

    MemberDirectory directory() {
        return directory;
    }

    RelayElection election() {
        return election;
    }

    /** Returns whether this node learns configurations first and passes them on. */
    RelayRole role() {
        return role;
    }

    HeadWatcher watch() {
        return watch;
    }

    Disseminator spreader() {
        return spreader;
    }

    ProposalAcceptor acceptor() {
        return acceptor;
    }

    Recovery recovery() {
        return recovery;
    }

    /** Returns the newest version that this node holds or has heard of. */
    ConfigurationVersion newestVersion() {
        return ConfigurationVersion.newest(spreader.newestKnown(), directory.newestVersion());
    }

    // -- commands

    /** Starts the loops; tells when the node has become ready. */
    void start(Loops loops, Runnable onReady) {
        start(loops, () -> watch.runOnce(milliseconds.getAsLong()), onReady);
    }

    /** Starts the loops with another source of configurations than the product's own head. */
    void start(Loops loops, LongSupplier source, Runnable onReady) {
        holder.addListener(snapshot -> {
            gossip.advanceHeldVersion(snapshot.version());
            loops.executor().execute(() -> spreader.disseminate(milliseconds.getAsLong()));
        });
        loops.every(GOSSIP_PAUSE_MILLISECONDS, gossip::tick);
        loops.every(SPREAD_PAUSE_MILLISECONDS, () -> spreader.tick(milliseconds.getAsLong()));
        loops.every(ELECTION_PAUSE_MILLISECONDS, () -> election.tick(milliseconds.getAsLong()));
        loops.repeat(source);
        loops.repeat(joining::step);
        loops.repeat(() -> {
            if (recovery.step()) {
                onReady.run();
            }
            return recovery.isReady() ? READY_PAUSE_MILLISECONDS : RECOVERY_PAUSE_MILLISECONDS;
        });
    }

    /** Hands the relay's slot over and tells the other nodes that this one is gone. */
    void leave() {
        election.resign();
        gossip.leave();
        LockSupport.parkNanos(Duration.ofMillis(GOSSIP_PAUSE_MILLISECONDS).toNanos());
    }

    private static RelayElection election(
            NodeSettings settings, Store store, MemberDirectory directory, RandomGenerator random) {
        RelayCandidacy candidacy =
                RelayCandidacy.of(settings.node(), settings.locality(), settings.platformRegion(), directory);
        RelayRegistration entry =
                new RelayRegistration(settings.node(), settings.listen().control());
        return RelayElection.of(store, entry, settings.availabilityZone(), candidacy, random);
    }

    private static RandomGenerator split(RandomGenerator random) {
        return new SplittableRandom(random.nextLong());
    }

    private static MemberRecord localRecord(NodeSettings settings) {
        Endpoint endpoint = new Endpoint(
                settings.node(),
                settings.listen().peer(),
                settings.locality(),
                settings.target().service(),
                UNKNOWN_SLOTS,
                EndpointState.STARTING,
                System.currentTimeMillis());
        return MemberRecord.of(endpoint, settings.listen().control());
    }
}
